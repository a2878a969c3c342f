import { probeBytes } from 'auburnturn'
import { callWireBytes, callerOneWayMs, longCallMs, meanServiceMs, measurementMs, slotsPerTarget } from './constants.js'
import type { SimulatedNode } from './simulated-node.js'
import type { PolicySetup, RunResult, Scenario, SlowCallCauses } from './types.js'

/** One answered call under a noisy neighbour. */
export interface NoisyCall {
  readonly latencyMs: number
  readonly workMs: number
  /** Whether the neighbour was on the target that answered when the call entered. */
  readonly sentToNoisyTarget: boolean
}

/** What is counted while a run goes on. */
export interface RunCounts {
  readonly latenciesMs: number[]
  readonly noisyCalls: NoisyCall[]
  started: number
  answered: number
  refused: number
  failed: number
  oneHop: number
}

interface RouterDump { readonly orders?: { readonly retries: { readonly firsts: number, readonly spent: number } } }

/** The figures of a run that has ended. */
export function summarizeRun (scenario: Scenario, setup: PolicySetup, nodes: readonly SimulatedNode[], counts: RunCounts): RunResult {
  const sortedMs = Float64Array.from(counts.latenciesMs).sort()
  const retryCounters = nodes.map(({ router }) => (router.dump() as RouterDump).orders?.retries)
  const firstAttempts = sum(retryCounters.map(counters => counters?.firsts ?? 0))
  const capacityCalls = scenario.targetCount * slotsPerTarget / meanServiceMs * measurementMs
  const costs = nodes.map(({ budget }) => budget.cost)
  return {
    scene: scenario.name,
    contender: setup.name,
    calls: counts.started,
    p50: quantile(sortedMs, 0.5),
    p99: quantile(sortedMs, 0.99),
    p999: quantile(sortedMs, 0.999),
    goodput: counts.answered / capacityCalls,
    refused: counts.refused / counts.started,
    failed: counts.failed / counts.started,
    retries: sum(retryCounters.map(counters => counters?.spent ?? 0)) / firstAttempts,
    oneHop: counts.oneHop / Math.max(1, counts.answered),
    measuring: {
      messages: sum(costs.map(cost => cost.messages)),
      bytes: sum(costs.map(cost => cost.bytes)),
      coreMs: sum(costs.map(cost => cost.coreMs)),
      denied: sum(costs.map(cost => cost.denied))
    },
    messagesPerSecond: Math.max(...nodes.map(({ messageTimes }) => countMaxInWindow(messageTimes, 1_000))),
    bytesPerSecond: probeBytes * Math.max(...nodes.map(({ messageTimes }) => countMaxInWindow(messageTimes, 1_000))),
    messagesAllowed: scenario.profile.measuring.messagesPerSecond,
    bytesAllowed: scenario.profile.measuring.bytesPerSecond,
    probeShare: sum(costs.map(cost => cost.bytes)) / (firstAttempts * callWireBytes),
    ...(counts.noisyCalls.length === 0 ? {} : { slowest: classifySlowCalls(counts.noisyCalls, quantile(sortedMs, 0.99)) }),
    crashes: sum(nodes.map(({ upstream }) => upstream.crashCount)),
    perTarget: nodes.filter(({ isTarget }) => isTarget).map(({ answeredCount }) => answeredCount)
  }
}

/** The time that a caller sees, with the way to a node and back. */
export function addCallerRoundTrip (latencyMs: number): number {
  return latencyMs + 2 * callerOneWayMs
}

export function quantile (sorted: Float64Array, share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** The most of the ascending times that lie within any one window. */
function countMaxInWindow (times: readonly number[], windowMs: number): number {
  let max = 0
  let windowStart = 0
  times.forEach((time, index) => {
    while (time - (times[windowStart] as number) >= windowMs) windowStart++
    max = Math.max(max, index - windowStart + 1)
  })
  return max
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function classifySlowCalls (calls: readonly NoisyCall[], thresholdMs: number): SlowCallCauses {
  const slowCalls = calls.filter(({ latencyMs }) => latencyMs > thresholdMs)
  const isLong = ({ workMs }: NoisyCall): boolean => workMs > longCallMs
  const computeShare = (matches: (call: NoisyCall) => boolean): number => slowCalls.filter(matches).length / Math.max(1, slowCalls.length)
  return {
    long: computeShare(isLong),
    caught: computeShare(call => !isLong(call) && !call.sentToNoisyTarget),
    sent: computeShare(call => !isLong(call) && call.sentToNoisyTarget)
  }
}
