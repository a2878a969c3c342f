import type { DepthFigures } from './depth.js'
import { bestBaseline, worstRatio } from './judge.js'
import type { Comparison, Judgement } from './judge.js'
import type { Figures } from './types.js'

/** A row for each policy in each scene, as a Markdown table. */
export function formatScenes (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ ours, baselines, hedged }) => [ours, ...baselines, ...(hedged === undefined ? [] : [hedged])].map(figures => [
    figures.scene, figures.contender, ms(figures.p50), ms(figures.p99), ms(figures.p999),
    (worstRatio(ours, figures)).toFixed(2), percent(figures.goodput), percent(figures.refused), percent(figures.failed),
    percent(figures.retries), percent(figures.oneHop), String(figures.messagesPerSecond), String(figures.bytesPerSecond)
  ]))
  return formatTable(['scene', 'policy', 'p50 ms', 'p99 ms', 'p99.9 ms', 'ours/this p99', 'goodput', 'refused', 'failed', 'retries', 'one hop', 'messages/s', 'bytes/s'], rows)
}

/** One row a scene: ours beside the best baseline and two choices. */
export function formatSummary (comparisons: readonly Comparison[]): string {
  const rows = comparisons.map(({ scene, ours, baselines }) => {
    const best = bestBaseline(ours, baselines)
    const two = baselines.find(({ contender }) => contender === 'two-choices') as Figures
    return [scene.name, ms(ours.p50), ms(ours.p99), ms(ours.p999), `${ms(best.p99)} (${best.contender})`, worstRatio(ours, best).toFixed(2), ms(two.p99), worstRatio(ours, two).toFixed(2), percent(ours.goodput), percent(ours.refused + ours.failed), percent(ours.retries), percent(ours.oneHop)]
  })
  return formatTable(['scene', 'p50 ms', 'p99 ms', 'p99.9 ms', 'best baseline p99', 'ratio', 'two choices p99', 'ratio', 'goodput', 'not answered', 'retries', 'one hop'], rows)
}

/** Why the calls above p99 were slow under noisy neighbours, for ours and two choices. */
export function formatSlowest (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ ours, baselines }) => [ours, baselines.find(({ contender }) => contender === 'two-choices')])
    .flatMap(figures => figures?.slowest === undefined ? [] : [[figures.scene, figures.contender, ms(figures.p99), percent(figures.slowest.long), percent(figures.slowest.caught), percent(figures.slowest.sent)]])
  return formatTable(['scene', 'policy', 'p99 ms', 'long by themselves', 'caught by the neighbour', 'sent to it'], rows)
}

/** Two choices with and without our hedges. */
export function formatHedges (comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(({ scene, ours, baselines, hedged }) => {
    const two = baselines.find(({ contender }) => contender === 'two-choices')
    return hedged === undefined || two === undefined ? [] : [[scene.name, ms(ours.p99), ms(two.p99), ms(hedged.p99), percent(hedged.retries)]]
  })
  return formatTable(['scene', 'ours p99 ms', 'two choices p99 ms', 'two choices with our hedges p99 ms', 'its retries'], rows)
}

export function formatDepth (rows: readonly DepthFigures[]): string {
  return formatTable(['depth', 'who retries', 'calls', 'answered', 'retries per first attempt', 'calls at the last layer per call', 'p99 ms'],
    rows.map(row => [String(row.depth), row.retrying, String(row.calls), percent(row.answered), percent(row.retries), row.amplification.toFixed(2), ms(row.p99)]))
}

export function formatLocal (rows: ReadonlyArray<{ readonly localBelow: number, readonly even: Figures, readonly uneven: Figures }>): string {
  return formatTable(['localBelow', 'even p50 ms', 'even p99 ms', 'even one hop', 'uneven p50 ms', 'uneven p99 ms', 'uneven one hop', 'uneven not answered'],
    rows.map(({ localBelow, even, uneven }) => [String(localBelow), ms(even.p50), ms(even.p99), percent(even.oneHop), ms(uneven.p50), ms(uneven.p99), percent(uneven.oneHop), percent(uneven.refused + uneven.failed)]))
}

export function formatJudgements (judgements: readonly Judgement[]): string {
  return formatTable(['target', 'scenes', 'verdict', 'misses'],
    judgements.map(({ target, judged, met, misses }) => [target, String(judged), met ? 'met' : `missed in ${misses.length}`, misses.join('; ')]))
}

export function formatTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function ms (value: number): string {
  return value.toFixed(1)
}

function percent (share: number): string {
  return `${(100 * share).toFixed(1)}%`
}
