import { probeBytes } from 'auburnturn'
import { callWireBytes, callerOneWayMs, longCallMs, meanServiceMs, measurementMs, slotsPerTarget } from './constants.js'
import type { SimulatedNode } from './simulated-node.js'
import type { PolicySetup, RunResult, Scenario, SlowCallCauses } from './types.js'

/** One answered call of a run with a noisy neighbour. */
export interface NoisyCall {
  readonly latencyMs: number
  readonly workMs: number
  /** Whether the noisy neighbour was on the answering target when the call entered. */
  readonly sentToNoisyTarget: boolean
}

/** Counters and samples that a run collects. */
export interface RunCounts {
  readonly latenciesMs: number[]
  readonly noisyCalls: NoisyCall[]
  started: number
  answered: number
  refused: number
  failed: number
  /** Calls answered by the target at the node where they entered. */
  oneHop: number
}

interface RouterDump { readonly orders?: { readonly retries: { readonly firsts: number, readonly spent: number } } }

/** Computes the result of a completed run. */
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
    p50: computeQuantile(sortedMs, 0.5),
    p99: computeQuantile(sortedMs, 0.99),
    p999: computeQuantile(sortedMs, 0.999),
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
    ...(counts.noisyCalls.length === 0 ? {} : { slowest: classifySlowCalls(counts.noisyCalls, computeQuantile(sortedMs, 0.99)) }),
    crashes: sum(nodes.map(({ upstream }) => upstream.crashCount)),
    perTarget: nodes.filter(({ isTarget }) => isTarget).map(({ answeredCount }) => answeredCount)
  }
}

/** The latency that a caller measures, which includes the round trip to the node. */
export function addCallerRoundTrip (latencyMs: number): number {
  return latencyMs + 2 * callerOneWayMs
}

/** The value at the given share of an ascending array; 0 when it is empty. */
export function computeQuantile (sorted: Float64Array, share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Returns the largest number of times within any window of `windowMs`; the times must be in ascending order. */
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

/** Splits the calls slower than the threshold by the cause of their latency, as shares. */
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
