import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { Cell } from './cells.js'
import { runConcurrently } from './concurrency.js'
import { faultPairs } from './fault-pairs.js'
import type { FaultPair } from './fault-pairs.js'
import { runCell, runWithFaults } from './run.js'
import type { RunFailure, RunResult } from './run.js'

/** Worlds that run at once in this process. */
const maxConcurrentClusters = 12

const callKinds: readonly CallKind[] = ['idempotent', 'plain', 'ticketed']

/** A breach with all that it takes to see it again. */
export interface Finding extends RunFailure {
  readonly caseName: string
  readonly seed: number
}

/** One row of the matrix: a cell with the runs of all kinds of calls. */
export interface CellResult {
  readonly cell: Cell
  readonly runs: number
  readonly findings: readonly Finding[]
}

/** Runs every cell that exists with every kind of call, `rounds` times with successive seeds. */
export async function runMatrix (seed: number, rounds: number): Promise<CellResult[]> {
  const cells = listCells()
  const runs = cells.filter(({ impossibleReason: impossible }) => impossible === undefined)
    .flatMap(cell => callKinds.flatMap(kind => Array.from({ length: rounds }, (_, round) => ({ cell, kind, seed: seed + round }))))
  const results = await runConcurrently(runs, maxConcurrentClusters, async run => ({ ...run, result: await runCell(run.cell, run.kind, run.seed) }))
  return cells.map(cell => {
    const own = results.filter(result => result.cell === cell)
    return { cell, runs: own.length, findings: own.flatMap(({ kind, seed, result }) => toFindings(result, `${cell.fault} at ${cell.step}, ${kind}`, seed)) }
  })
}

/** Runs `count` pairs of cells drawn from `seed`; a pair that fails is shrunk to the smaller part that still fails. */
export async function runPairs (seed: number, count: number): Promise<{ readonly runs: number, readonly findings: readonly Finding[] }> {
  const drawn = fc.sample(faultPairs, { seed, numRuns: count })
  const findings = await runConcurrently(drawn, maxConcurrentClusters, async pair => {
    const result = await runPair(pair)
    return result.failures.length === 0 ? [] : toFindings(...await reduceToSingleFault(pair, result))
  })
  return { runs: drawn.length, findings: findings.flat() }
}

/** The first fault may keep the call from the second one's step. */
async function runPair ({ plannedFaults: planned, kind, seed }: FaultPair): Promise<RunResult> {
  const run = await runWithFaults(planned, kind, seed)
  return { ...run, failures: run.failures.filter(breach => breach.kind !== 'not-reached') }
}

async function reduceToSingleFault (pair: FaultPair, failed: RunResult): Promise<[RunResult, string, number]> {
  for (const planned of pair.plannedFaults) {
    const smaller = await runPair({ ...pair, plannedFaults: [planned] })
    if (smaller.failures.length > 0) return [smaller, formatCaseName({ ...pair, plannedFaults: [planned] }), pair.seed]
  }
  return [failed, formatCaseName(pair), pair.seed]
}

function formatCaseName ({ plannedFaults: planned, kind }: FaultPair): string {
  return `${planned.map(({ fault, step }) => `${fault} at ${step}`).join(' and ')}, ${kind}`
}

function toFindings (run: RunResult, caseName: string, seed: number): Finding[] {
  return run.failures.map(breach => ({ ...breach, caseName, seed }))
}
