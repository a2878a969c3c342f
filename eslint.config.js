import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', '**/gen/**', 'node_modules/**']
  }),
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: false } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  }
]
