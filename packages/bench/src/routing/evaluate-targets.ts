import { addCallerRoundTrip } from './run-result.js'
import type { RunResult, Scenario } from './types.js'

/** Evaluation of one performance target over the scenarios that it applies to. */
export interface TargetEvaluation {
  readonly target: string
  readonly met: boolean
  /** Scenarios that miss the target, with the measured value. */
  readonly misses: readonly string[]
  /** Number of scenarios or runs evaluated. */
  readonly judged: number
}

/** All runs of one scenario: the adaptive policy (`ours`) and the baselines. */
export interface Comparison {
  readonly scenario: Scenario
  readonly ours: RunResult
  readonly baselines: readonly RunResult[]
  /** The adaptive policy without a measuring budget, in steady scenarios. */
  readonly unmeasured?: RunResult
  /** Two choices with hedging, in shifting scenarios. */
  readonly hedged?: RunResult
}

/**
 * Largest difference in the share of refused and failed calls at which two p99 are comparable: a policy that refuses
 * more calls appears faster.
 */
const maxExtraLossShare = 0.01

/** Evaluates every performance target of the routing benchmark. */
export function evaluateTargets (comparisons: readonly Comparison[], budgetRuns: readonly RunResult[]): TargetEvaluation[] {
  const shifting = comparisons.filter(({ scenario }) => scenario.group === 'shifting')
  const allRuns = [...comparisons.flatMap(({ ours }) => [ours]), ...budgetRuns]
  return [
    evaluateTarget('p99 at most 1.05x the best baseline', comparisons, ({ ours, baselines }) => {
      const ratio = computeWorstRatio(ours, findBestBaseline(ours, baselines))
      return describeMiss(ratio > 1.05, `${ratio.toFixed(2)}x`)
    }),
    evaluateTarget('p99 at most 0.5x two-choices with a straggler or noisy neighbours', shifting, ({ ours, baselines }) => {
      const ratio = computeWorstRatio(ours, baselines.find(({ contender }) => contender === 'two-choices') as RunResult)
      return describeMiss(ratio > 0.5, `${ratio.toFixed(2)}x`)
    }),
    evaluateTarget('goodput at 130% load at least 95% of capacity', comparisons.filter(({ scenario }) => scenario.group === 'overload'), ({ ours }) =>
      describeMiss(ours.goodput < 0.95, `${(100 * ours.goodput).toFixed(1)}%`)),
    evaluateTarget('retries at most the budget', comparisons, ({ scenario, ours }) =>
      describeMiss(ours.retries > scenario.profile.retry.share, ours.retries.toFixed(4))),
    evaluateTarget('probing at most 2% of the bytes of calls', comparisons, ({ ours }) =>
      describeMiss(ours.probeShare > 0.02, `${(100 * ours.probeShare).toFixed(2)}%`)),
    {
      target: 'probing never above the budget in any second',
      judged: allRuns.length,
      ...collectMisses(allRuns.map(run => describeMiss(run.messagesPerSecond > run.messagesAllowed || run.bytesPerSecond > run.bytesAllowed,
        `${run.scene}: ${run.messagesPerSecond} messages, ${run.bytesPerSecond} bytes`)))
    },
    evaluateTarget('p99 without a budget at most 1.2x that with it in steady scenes', comparisons.filter(({ unmeasured }) => unmeasured !== undefined), ({ ours, unmeasured }) => {
      const ratio = computeWorstRatio(unmeasured as RunResult, ours)
      return describeMiss(ratio > 1.2, `${ratio.toFixed(2)}x`)
    })
  ]
}

/** The baseline with the lowest p99 among those that answer about as many calls; among all if there is none. */
export function findBestBaseline (ours: RunResult, baselines: readonly RunResult[]): RunResult {
  const computeLossShare = (result: RunResult): number => result.refused + result.failed
  const comparable = baselines.filter(baseline => computeLossShare(baseline) <= computeLossShare(ours) + maxExtraLossShare)
  const candidates = comparable.length > 0 ? comparable : baselines
  return candidates.reduce((best, baseline) => baseline.p99 < best.p99 ? baseline : best)
}

/** The larger of two ratios of p99: as measured at the node, and as measured at the caller. */
export function computeWorstRatio (result: RunResult, reference: RunResult): number {
  return Math.max(result.p99 / reference.p99, addCallerRoundTrip(result.p99) / addCallerRoundTrip(reference.p99))
}

function evaluateTarget (target: string, comparisons: readonly Comparison[], findMiss: (comparison: Comparison) => string | undefined): TargetEvaluation {
  const results = comparisons.map(comparison => {
    const missed = findMiss(comparison)
    return missed === undefined ? undefined : `${comparison.scenario.name}: ${missed}`
  })
  return { target, judged: comparisons.length, ...collectMisses(results) }
}

function collectMisses (results: ReadonlyArray<string | undefined>): { readonly met: boolean, readonly misses: readonly string[] } {
  const misses = results.filter(text => text !== undefined)
  return { met: misses.length === 0, misses }
}

function describeMiss (missed: boolean, text: string): string | undefined {
  return missed ? text : undefined
}
