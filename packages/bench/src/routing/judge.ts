import { atCaller } from './figures.js'
import type { Figures, Scene } from './types.js'

/** One target of the issue, judged over the scenes it is meant for. */
export interface Judgement {
  readonly target: string
  readonly met: boolean
  /** Scenes that miss it, with what was seen. */
  readonly misses: readonly string[]
  readonly judged: number
}

/** All runs of one scene: ours first, then the baselines. */
export interface Comparison {
  readonly scene: Scene
  readonly ours: Figures
  readonly baselines: readonly Figures[]
  /** Ours without a measuring budget, in steady scenes. */
  readonly unmeasured?: Figures
  /** Two choices with our hedges, in shifting scenes. */
  readonly hedged?: Figures
}

/** Answers given up that still let two p99 be compared; a policy that refuses more looks faster. */
const comparableShare = 0.01

/** Judges every target. Bounds are those of the issue. */
export function judge (comparisons: readonly Comparison[], budgetRuns: readonly Figures[]): Judgement[] {
  const shifting = comparisons.filter(({ scene }) => scene.group === 'shifting')
  const all = [...comparisons.flatMap(({ ours }) => [ours]), ...budgetRuns]
  return [
    check('p99 at most 1.05x the best baseline', comparisons, ({ ours, baselines }) => {
      const ratio = worstRatio(ours, bestBaseline(ours, baselines))
      return miss(ratio > 1.05, `${ratio.toFixed(2)}x`)
    }),
    check('p99 at most 0.5x two-choices with a straggler or noisy neighbours', shifting, ({ ours, baselines }) => {
      const ratio = worstRatio(ours, baselines.find(({ contender }) => contender === 'two-choices') as Figures)
      return miss(ratio > 0.5, `${ratio.toFixed(2)}x`)
    }),
    check('goodput at 130% load at least 95% of capacity', comparisons.filter(({ scene }) => scene.group === 'overload'), ({ ours }) =>
      miss(ours.goodput < 0.95, `${(100 * ours.goodput).toFixed(1)}%`)),
    check('retries at most the budget', comparisons, ({ scene, ours }) =>
      miss(ours.retries > scene.profile.retry.share, ours.retries.toFixed(4))),
    check('probing at most 2% of the bytes of calls', comparisons, ({ ours }) =>
      miss(ours.probeShare > 0.02, `${(100 * ours.probeShare).toFixed(2)}%`)),
    {
      target: 'probing never above the budget in any second',
      judged: all.length,
      ...collectMisses(all.map(figures => miss(figures.messagesPerSecond > figures.messagesAllowed || figures.bytesPerSecond > figures.bytesAllowed,
        `${figures.scene}: ${figures.messagesPerSecond} messages, ${figures.bytesPerSecond} bytes`)))
    },
    check('p99 without a budget at most 1.2x that with it in steady scenes', comparisons.filter(({ unmeasured }) => unmeasured !== undefined), ({ ours, unmeasured }) => {
      const ratio = worstRatio(unmeasured as Figures, ours)
      return miss(ratio > 1.2, `${ratio.toFixed(2)}x`)
    })
  ]
}

/** The baseline with the least p99 among those that answer about as many calls. */
export function bestBaseline (ours: Figures, baselines: readonly Figures[]): Figures {
  const lost = (figures: Figures): number => figures.refused + figures.failed
  const comparable = baselines.filter(baseline => lost(baseline) <= lost(ours) + comparableShare)
  const from = comparable.length > 0 ? comparable : baselines
  return from.reduce((best, baseline) => baseline.p99 < best.p99 ? baseline : best)
}

/** The larger of the ratios of p99 at the node and at the caller. */
export function worstRatio (one: Figures, other: Figures): number {
  return Math.max(one.p99 / other.p99, atCaller(one.p99) / atCaller(other.p99))
}

function check (target: string, comparisons: readonly Comparison[], look: (comparison: Comparison) => string | undefined): Judgement {
  const seen = comparisons.map(comparison => {
    const found = look(comparison)
    return found === undefined ? undefined : `${comparison.scene.name}: ${found}`
  })
  return { target, judged: comparisons.length, ...collectMisses(seen) }
}

function collectMisses (seen: ReadonlyArray<string | undefined>): { readonly met: boolean, readonly misses: readonly string[] } {
  const misses = seen.filter(text => text !== undefined)
  return { met: misses.length === 0, misses }
}

function miss (missed: boolean, text: string): string | undefined {
  return missed ? text : undefined
}
