import type { ChainResult } from './call-chain.js'
import { findBestBaseline, computeWorstRatio } from './evaluate-targets.js'
import type { Comparison, TargetEvaluation } from './evaluate-targets.js'
import type { RunResult } from './types.js'

/** A Markdown table with one row per policy and scenario. */
export function formatScenarios (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ ours, baselines, hedged }) => [ours, ...baselines, ...(hedged === undefined ? [] : [hedged])].map(result => [
    result.scene, result.contender, formatMs(result.p50), formatMs(result.p99), formatMs(result.p999),
    (computeWorstRatio(ours, result)).toFixed(2), formatPercent(result.goodput), formatPercent(result.refused), formatPercent(result.failed),
    formatPercent(result.retries), formatPercent(result.oneHop), String(result.messagesPerSecond), String(result.bytesPerSecond)
  ]))
  return formatTable(['scene', 'policy', 'p50 ms', 'p99 ms', 'p99.9 ms', 'ours/this p99', 'goodput', 'refused', 'failed', 'retries', 'one hop', 'messages/s', 'bytes/s'], rows)
}

/** One row per scenario: the adaptive policy beside the best baseline and two choices. */
export function formatSummary (comparisons: readonly Comparison[]): string {
  const rows = comparisons.map(({ scenario, ours, baselines }) => {
    const best = findBestBaseline(ours, baselines)
    const twoChoices = baselines.find(({ contender }) => contender === 'two-choices') as RunResult
    return [scenario.name, formatMs(ours.p50), formatMs(ours.p99), formatMs(ours.p999), `${formatMs(best.p99)} (${best.contender})`, computeWorstRatio(ours, best).toFixed(2), formatMs(twoChoices.p99), computeWorstRatio(ours, twoChoices).toFixed(2), formatPercent(ours.goodput), formatPercent(ours.refused + ours.failed), formatPercent(ours.retries), formatPercent(ours.oneHop)]
  })
  return formatTable(['scene', 'p50 ms', 'p99 ms', 'p99.9 ms', 'best baseline p99', 'ratio', 'two choices p99', 'ratio', 'goodput', 'not answered', 'retries', 'one hop'], rows)
}

/** Causes of the latency above p99 with noisy neighbours, for the adaptive policy and two choices. */
export function formatSlowCallCauses (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ ours, baselines }) => [ours, baselines.find(({ contender }) => contender === 'two-choices')])
    .flatMap(result => result?.slowest === undefined ? [] : [[result.scene, result.contender, formatMs(result.p99), formatPercent(result.slowest.long), formatPercent(result.slowest.caught), formatPercent(result.slowest.sent)]])
  return formatTable(['scene', 'policy', 'p99 ms', 'long by themselves', 'caught by the neighbour', 'sent to it'], rows)
}

/** Two choices with and without hedging. */
export function formatHedging (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ scenario, ours, baselines, hedged }) => {
    const twoChoices = baselines.find(({ contender }) => contender === 'two-choices')
    return hedged === undefined || twoChoices === undefined ? [] : [[scenario.name, formatMs(ours.p99), formatMs(twoChoices.p99), formatMs(hedged.p99), formatPercent(hedged.retries)]]
  })
  return formatTable(['scene', 'ours p99 ms', 'two choices p99 ms', 'two choices with our hedges p99 ms', 'its retries'], rows)
}

/** One row per chain depth and retry behaviour. */
export function formatChains (rows: readonly ChainResult[]): string {
  return formatTable(['depth', 'who retries', 'calls', 'answered', 'retries per first attempt', 'calls at the last layer per call', 'p99 ms'],
    rows.map(row => [String(row.depth), row.retrying, String(row.calls), formatPercent(row.answered), formatPercent(row.retries), row.amplification.toFixed(2), formatMs(row.p99)]))
}

/** One row per threshold of `localBelow`, with calls that enter evenly and unevenly. */
export function formatLocalThresholds (rows: ReadonlyArray<{ readonly localBelow: number, readonly even: RunResult, readonly uneven: RunResult }>): string {
  return formatTable(['localBelow', 'even p50 ms', 'even p99 ms', 'even one hop', 'uneven p50 ms', 'uneven p99 ms', 'uneven one hop', 'uneven not answered'],
    rows.map(({ localBelow, even, uneven }) => [String(localBelow), formatMs(even.p50), formatMs(even.p99), formatPercent(even.oneHop), formatMs(uneven.p50), formatMs(uneven.p99), formatPercent(uneven.oneHop), formatPercent(uneven.refused + uneven.failed)]))
}

/** One row per performance target, with the scenarios that miss it. */
export function formatEvaluations (evaluations: readonly TargetEvaluation[]): string {
  return formatTable(['target', 'scenes', 'verdict', 'misses'],
    evaluations.map(({ target, judged, met, misses }) => [target, String(judged), met ? 'met' : `missed in ${misses.length}`, misses.join('; ')]))
}

/** Formats a Markdown table. */
export function formatTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const formatRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [formatRow(head), formatRow(head.map(() => '---')), ...rows.map(formatRow)].join('\n')
}

function formatMs (value: number): string {
  return value.toFixed(1)
}

function formatPercent (share: number): string {
  return `${(100 * share).toFixed(1)}%`
}
