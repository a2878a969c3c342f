// Bundles the node into one file, so that less code is read and compiled at each start.
import { build } from 'esbuild'

await build({
  entryPoints: ['packages/sidecar/dist/src/main.js'],
  outfile: 'target/auburnturn.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  mainFields: ['module', 'main']
})
