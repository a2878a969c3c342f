import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { Cell } from './cells.js'
import { runCrowd } from './crowd.js'
import { pairs } from './pairs.js'
import type { Pair } from './pairs.js'
import { runCell, runPlan } from './run.js'
import type { Breach, Run } from './run.js'

/** Worlds that run at once in this process. */
const width = 12

const kinds: readonly CallKind[] = ['idempotent', 'plain', 'ticketed']

/** A breach with all that it takes to see it again. */
export interface Finding extends Breach {
  readonly where: string
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
  const runs = cells.filter(({ impossible }) => impossible === undefined)
    .flatMap(cell => kinds.flatMap(kind => Array.from({ length: rounds }, (_, round) => ({ cell, kind, seed: seed + round }))))
  const results = await runCrowd(runs, width, async run => ({ ...run, result: await runCell(run.cell, run.kind, run.seed) }))
  return cells.map(cell => {
    const own = results.filter(result => result.cell === cell)
    return { cell, runs: own.length, findings: own.flatMap(({ kind, seed, result }) => describe(result, `${cell.fault} at ${cell.step}, ${kind}`, seed)) }
  })
}

/** Runs `count` pairs of cells drawn from `seed`; a pair that fails is shrunk to the smaller part that still fails. */
export async function runPairs (seed: number, count: number): Promise<{ readonly runs: number, readonly findings: readonly Finding[] }> {
  const drawn = fc.sample(pairs, { seed, numRuns: count })
  const findings = await runCrowd(drawn, width, async pair => {
    const result = await runPair(pair)
    return result.breaches.length === 0 ? [] : describe(...await shrink(pair, result))
  })
  return { runs: drawn.length, findings: findings.flat() }
}

/** The first fault may keep the call from the second one's step. */
async function runPair ({ planned, kind, seed }: Pair): Promise<Run> {
  const run = await runPlan(planned, kind, seed)
  return { ...run, breaches: run.breaches.filter(breach => breach.kind !== 'not-reached') }
}

async function shrink (pair: Pair, failed: Run): Promise<[Run, string, number]> {
  for (const planned of pair.planned) {
    const smaller = await runPair({ ...pair, planned: [planned] })
    if (smaller.breaches.length > 0) return [smaller, name({ ...pair, planned: [planned] }), pair.seed]
  }
  return [failed, name(pair), pair.seed]
}

function name ({ planned, kind }: Pair): string {
  return `${planned.map(({ fault, step }) => `${fault} at ${step}`).join(' and ')}, ${kind}`
}

function describe (run: Run, where: string, seed: number): Finding[] {
  return run.breaches.map(breach => ({ ...breach, where, seed }))
}
