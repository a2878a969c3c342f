/** Runs the bench of the given name: `npm run bench -- NAME`. */
const benches = ['path', 'routing', 'control', 'ledger', 'roles', 'scene', 'losses'] as const

const name = process.argv[2]
if (!benches.some(bench => bench === name)) {
  process.stderr.write(`Usage: npm run bench -- ${benches.join('|')}\n`)
  process.exit(2)
}
await import(`./${name as string}/index.js`)
