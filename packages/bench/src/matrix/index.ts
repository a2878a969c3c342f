/**
 * Runs the fault matrix with more pairs and histories than CI:
 * `npm run matrix -- --seed N --runs N [--pairs N] [--histories N] [--write FILE]`.
 */
import { parseArgs } from 'node:util'
import { runInterleavings } from './interleavings.js'
import { runMatrix, runPairs } from './matrix.js'
import type { Finding } from './matrix.js'
import { formatTable, writeTable } from './table.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    /** Number of runs of every cell with every kind of call. */
    runs: { type: 'string', default: '1' },
    pairs: { type: 'string', default: '300' },
    histories: { type: 'string', default: '10000' },
    /** Markdown file into which the table is written. */
    write: { type: 'string' }
  }
})

const seed = Number(values.seed)
const start = performance.now()
const cells = await runMatrix(seed, Number(values.runs))
const pairs = await runPairs(seed, Number(values.pairs))
const interleavings = await runInterleavings(seed, Number(values.histories))
const findings: readonly Finding[] = [...cells.flatMap(cell => cell.findings), ...pairs.findings, ...interleavings.findings]
const table = formatTable({
  seed,
  cells,
  pairs: { runs: pairs.runs, violations: pairs.findings.length },
  interleavings: { runs: interleavings.runs, violations: interleavings.findings.length }
})
process.stdout.write(`${table}\n\n`)
for (const finding of findings) process.stdout.write(`${finding.kind} (${finding.caseName}, seed ${finding.seed}): ${finding.detail}\n`)
process.stdout.write(`${findings.length} violations, ${Math.round((performance.now() - start) / 1_000)} s\n`)
if (values.write !== undefined) writeTable(values.write, table)
// Timers that end temporary faults may still be pending.
process.exit(findings.length === 0 ? 0 : 1)
