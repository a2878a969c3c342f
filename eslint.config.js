import neostandard from 'neostandard'

/** Names of the users' platform; only the adapter may know them. */
const wireNames = /^(x-(attempt-id|deadline-ms|expect-instance|caller-service|response-seal|not-executed|instance-id|server-load)|op\/config|servers\/|\/api\/.*|route_type|weighted_split|slo_latency_ms|timeout_ms|max_attempts|non_idempotent|resource_type|cold_remaining_ms|current_rev|has_more|tombstone)$/i

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'target/**']
  }),
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: false } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  },
  {
    files: ['packages/sidecar/src/**/*.ts'],
    ignores: ['packages/sidecar/src/platform/**'],
    rules: {
      'no-restricted-syntax': ['error',
        { selector: `Literal[value=${wireNames}]`, message: 'A name of the platform: translate it in packages/sidecar/src/platform.' },
        { selector: 'Identifier[name=/^(slo_latency_ms|timeout_ms|route_type|max_attempts|cold_remaining_ms|current_rev|has_more|app_addr)$/]', message: 'A name of the platform: translate it in packages/sidecar/src/platform.' }
      ]
    }
  }
]
