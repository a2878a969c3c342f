import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { Cell } from './cells.js'
import { runConcurrently } from './concurrency.js'
import { faultPairs } from './fault-pairs.js'
import type { FaultPair } from './fault-pairs.js'
import { runCell, runWithFaults } from './run.js'
import type { RunFailure, RunResult } from './run.js'

/** Maximum number of test clusters that run concurrently in this process. */
const maxConcurrentClusters = 12

const callKinds: readonly CallKind[] = ['idempotent', 'plain', 'ticketed']

/** A failure of a run with the case and the seed that reproduce it. */
export interface Finding extends RunFailure {
  readonly caseName: string
  readonly seed: number
}

/** Result of one cell: the number of its runs over all kinds of calls, and their findings. */
export interface CellResult {
  readonly cell: Cell
  readonly runs: number
  readonly findings: readonly Finding[]
}

/** Runs every possible cell with every kind of call, `rounds` times with successive seeds. */
export async function runMatrix (seed: number, rounds: number): Promise<CellResult[]> {
  const cells = listCells()
  const runs = cells.filter(({ impossibleReason }) => impossibleReason === undefined)
    .flatMap(cell => callKinds.flatMap(kind => Array.from({ length: rounds }, (_, round) => ({ cell, kind, seed: seed + round }))))
  const results = await runConcurrently(runs, maxConcurrentClusters, async run => ({ ...run, result: await runCell(run.cell, run.kind, run.seed) }))
  return cells.map(cell => {
    const cellResults = results.filter(result => result.cell === cell)
    return { cell, runs: cellResults.length, findings: cellResults.flatMap(({ kind, seed, result }) => toFindings(result, `${cell.fault} at ${cell.step}, ${kind}`, seed)) }
  })
}

/** Runs `count` pairs of cells sampled with `seed`; a failed pair is reduced to one of its faults if that fails alone. */
export async function runPairs (seed: number, count: number): Promise<{ readonly runs: number, readonly findings: readonly Finding[] }> {
  const sampled = fc.sample(faultPairs, { seed, numRuns: count })
  const findings = await runConcurrently(sampled, maxConcurrentClusters, async pair => {
    const result = await runPair(pair)
    return result.failures.length === 0 ? [] : toFindings(...await reduceToSingleFault(pair, result))
  })
  return { runs: sampled.length, findings: findings.flat() }
}

/** Runs a pair. A fault that is not injected is no failure: the first one may keep the call from the second one's step. */
async function runPair ({ plannedFaults, kind, seed }: FaultPair): Promise<RunResult> {
  const run = await runWithFaults(plannedFaults, kind, seed)
  return { ...run, failures: run.failures.filter(failure => failure.kind !== 'not-reached') }
}

/** Runs the faults of a failed pair one by one; returns the first that fails alone, or else the pair. */
async function reduceToSingleFault (pair: FaultPair, failed: RunResult): Promise<[RunResult, string, number]> {
  for (const plannedFault of pair.plannedFaults) {
    const result = await runPair({ ...pair, plannedFaults: [plannedFault] })
    if (result.failures.length > 0) return [result, formatCaseName({ ...pair, plannedFaults: [plannedFault] }), pair.seed]
  }
  return [failed, formatCaseName(pair), pair.seed]
}

function formatCaseName ({ plannedFaults, kind }: FaultPair): string {
  return `${plannedFaults.map(({ fault, step }) => `${fault} at ${step}`).join(' and ')}, ${kind}`
}

function toFindings (run: RunResult, caseName: string, seed: number): Finding[] {
  return run.failures.map(failure => ({ ...failure, caseName, seed }))
}
