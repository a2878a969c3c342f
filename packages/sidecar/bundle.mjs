// Bundles the node into one file, with only those parts of undici that it uses: less to read and compile at each start.
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

/** Puts our two imports in the place of undici's index. */
const narrowUndici = {
  name: 'narrow-undici',
  setup ({ onResolve }) {
    const path = fileURLToPath(new URL('undici-client.js', import.meta.url))
    onResolve({ filter: /^undici$/ }, () => ({ path }))
  }
}

await build({
  entryPoints: ['packages/sidecar/dist/src/main.js'],
  outfile: 'target/auburnturn.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  mainFields: ['module', 'main'],
  plugins: [narrowUndici]
})
