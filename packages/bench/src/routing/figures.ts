import { probeBytes } from 'auburnturn'
import { callBytes, callerMs, longMs, meanMs, measuredMs, slots } from './constants.js'
import type { TargetNode } from './target-node.js'
import type { Contender, Figures, Scene, Slowest } from './types.js'

/** One answered call under a noisy neighbour. */
export interface Trace {
  readonly latencyMs: number
  readonly workMs: number
  /** Whether the neighbour was on the target that answered when the call entered. */
  readonly sentIntoNoise: boolean
}

/** What is counted while a run goes on. */
export interface Tally {
  readonly latencies: number[]
  readonly traces: Trace[]
  started: number
  answered: number
  refused: number
  failed: number
  oneHop: number
}

interface RouterDump { readonly orders?: { readonly retries: { readonly firsts: number, readonly spent: number } } }

/** The figures of a run that has ended. */
export function collect (scene: Scene, contender: Contender, nodes: readonly TargetNode[], tally: Tally): Figures {
  const sorted = Float64Array.from(tally.latencies).sort()
  const dumps = nodes.map(({ router }) => (router.dump() as RouterDump).orders?.retries)
  const firsts = sum(dumps.map(dump => dump?.firsts ?? 0))
  const capacity = scene.targets * slots / meanMs * measuredMs
  const costs = nodes.map(({ budget }) => budget.cost)
  return {
    scene: scene.name,
    contender: contender.name,
    calls: tally.started,
    p50: quantile(sorted, 0.5),
    p99: quantile(sorted, 0.99),
    p999: quantile(sorted, 0.999),
    goodput: tally.answered / capacity,
    refused: tally.refused / tally.started,
    failed: tally.failed / tally.started,
    retries: sum(dumps.map(dump => dump?.spent ?? 0)) / firsts,
    oneHop: tally.oneHop / Math.max(1, tally.answered),
    measuring: {
      messages: sum(costs.map(cost => cost.messages)),
      bytes: sum(costs.map(cost => cost.bytes)),
      coreMs: sum(costs.map(cost => cost.coreMs)),
      denied: sum(costs.map(cost => cost.denied))
    },
    messagesPerSecond: Math.max(...nodes.map(({ sentAt }) => countMost(sentAt, 1_000))),
    bytesPerSecond: probeBytes * Math.max(...nodes.map(({ sentAt }) => countMost(sentAt, 1_000))),
    messagesAllowed: scene.profile.measuring.messagesPerSecond,
    bytesAllowed: scene.profile.measuring.bytesPerSecond,
    probeShare: sum(costs.map(cost => cost.bytes)) / (firsts * callBytes),
    ...(tally.traces.length === 0 ? {} : { slowest: explainSlowest(tally.traces, quantile(sorted, 0.99)) }),
    crashes: sum(nodes.map(({ upstream }) => upstream.crashes)),
    perTarget: nodes.filter(({ isTarget }) => isTarget).map(({ answered }) => answered)
  }
}

/** The time that a caller sees, with the way to a node and back. */
export function atCaller (milliseconds: number): number {
  return milliseconds + 2 * callerMs
}

export function quantile (sorted: Float64Array, share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** The most of the ascending times that lie within any one window. */
function countMost (times: readonly number[], windowMs: number): number {
  let most = 0
  let first = 0
  times.forEach((time, index) => {
    while (time - (times[first] as number) >= windowMs) first++
    most = Math.max(most, index - first + 1)
  })
  return most
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function explainSlowest (traces: readonly Trace[], thresholdMs: number): Slowest {
  const slow = traces.filter(({ latencyMs }) => latencyMs > thresholdMs)
  const isLong = ({ workMs }: Trace): boolean => workMs > longMs
  const share = (accept: (trace: Trace) => boolean): number => slow.filter(accept).length / Math.max(1, slow.length)
  return {
    long: share(isLong),
    caught: share(trace => !isLong(trace) && !trace.sentIntoNoise),
    sent: share(trace => !isLong(trace) && trace.sentIntoNoise)
  }
}
