/**
 * Fault injection soak: real nodes, stand-in targets and a stand-in store run as separate processes on this machine, and
 * faults are injected from outside.
 * `npm run soak -- --seed N [--runs N] [--vms N] [--length SECONDS] [--rate N] [--regressions] [--keep] [--write] [--table FILE]`
 */
import { rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { writeTable } from '../matrix/table.js'
import { appendResult } from '../results.js'
import { checks } from './checks/checks.js'
import { regressions } from './regressions.js'
import { runSoak } from './run.js'
import type { RunResult, RunOptions } from './run.js'
import { formatSoakTable } from './table.js'
import type { Finding } from './types.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    vms: { type: 'string', default: '9' },
    length: { type: 'string', default: '12' },
    /** Requests per second at each VM. */
    rate: { type: 'string', default: '20' },
    /** Keeps the settings and output of runs without findings too. */
    keep: { type: 'boolean', default: false },
    /** Appends each run to the committed results. */
    write: { type: 'boolean', default: false },
    /** Runs every seed that has ever failed, instead of `--seed` and `--runs`. */
    regressions: { type: 'boolean', default: false },
    /** Runs nothing; writes the committed results into this Markdown file. */
    table: { type: 'string' }
  }
})

if (values.table !== undefined) {
  writeTable(values.table, formatSoakTable(), 'soak')
  process.exit(0)
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(1) })

/** Blocks of loopback addresses that successive runs use in rotation. */
const networkCount = 60

/** Seed, size and load of one run. */
type RunParameters = Pick<RunOptions, 'seed' | 'vms' | 'requestsPerSecond'>

const requestedRuns = Array.from({ length: Number(values.runs) }, (_, index): RunParameters => ({ seed: Number(values.seed) + index, vms: Number(values.vms), requestsPerSecond: Number(values.rate) }))
const runs: readonly RunParameters[] = values.regressions ? regressions : requestedRuns
let failed = 0
for (const [index, parameters] of runs.entries()) {
  const folder = join(tmpdir(), `auburnturn-soak-${process.pid}-${index}-${parameters.seed}`)
  const result = await runSoak({ ...parameters, faultWindowMs: Number(values.length) * 1_000, folder, networkIndex: (process.pid + index) % networkCount })
  const findings = Object.values(checks).flatMap(check => check(result.observation))
  report(parameters, result, findings, folder)
  if (findings.length > 0) failed++
  else if (!values.keep) rmSync(folder, { recursive: true })
}
process.stdout.write(`${runs.length - failed} of ${runs.length} runs passed all checks\n`)
process.exit(failed === 0 ? 0 : 1)

function report ({ seed, vms }: RunParameters, { plan, observation }: RunResult, findings: readonly Finding[], folder: string): void {
  const { outcomes } = observation
  const served = outcomes.filter(({ result }) => result === 200).length
  const names = [...new Set(plan.map(({ name }) => name))].sort()
  process.stdout.write(`seed ${seed}: ${plan.length} faults (${names.join(', ')}), ${outcomes.length} requests, ${served} served, ${findings.length} findings\n`)
  if (findings.length > 0) process.stdout.write(`  settings and output: ${folder}\n  plan: ${JSON.stringify(plan)}\n`)
  for (const { rule, detail } of findings.slice(0, 12)) process.stdout.write(`  ${rule}: ${detail}\n`)
  if (values.write) appendResult('soak', { seed, vms, lengthSeconds: Number(values.length), faults: plan.length, names: names.join(' '), requests: outcomes.length, served, findings: [...new Set(findings.map(({ rule }) => rule))].join(' ') })
}
