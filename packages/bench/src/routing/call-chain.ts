import { Random } from 'auburnturn'
import type { Call, Outcome } from 'auburnturn'
import { callTimeoutMs, failureDomainCount, meanServiceMs, measurementMs, slotsPerTarget } from './constants.js'
import { adaptiveSetup } from './policy-setups.js'
import { drawExponential } from './sampler.js'
import { emptyBody, createNullAnswer, createCall } from './run-scenario.js'
import { defaultProfile, faultlessScenario } from './scenarios.js'
import { SimulatedNode } from './simulated-node.js'
import type { FailureSchedule } from './simulated-upstream.js'
import { VirtualTime } from './virtual-time.js'

/** Share of the calls of the last layer that lose their connection. */
const connectionLossShare = 0.3

/** Share of the slots of the first layer that are in use. */
const firstLayerLoad = 0.3

/** Measurements of chains of calls whose last layer fails. */
export interface ChainResult {
  readonly depth: number
  /**
   * `one-layer`: a layer passes on the attempt number and respects that the layer below has exhausted its retries.
   * `every-layer`: each layer ignores both and retries by itself.
   */
  readonly retrying: 'one-layer' | 'every-layer'
  readonly calls: number
  /** Share of the calls that were answered. */
  readonly answered: number
  /** Retries per first attempt, in the layer with the most. */
  readonly retries: number
  /** Calls that reach the last layer per call to the first. */
  readonly amplification: number
  /** 99th percentile of the latency of answered calls, in milliseconds. */
  readonly p99: number
}

/** Runs chains of calls through `depth` layers, each with three targets of its own. */
export async function runChain (depth: number, retrying: ChainResult['retrying'], seed: number): Promise<ChainResult> {
  const time = VirtualTime.create()
  const lossRandom = Random.create(seed)
  let lastLayerCalls = 0
  const failLastLayer: FailureSchedule = () => {
    lastLayerCalls++
    return lossRandom.fraction() < connectionLossShare ? 'lose' : 'none'
  }
  const layers = Array.from({ length: depth }, (_, layer) => createLayer(time, seed + 10 * layer, layer === depth - 1 ? failLastLayer : undefined))
  layers.forEach((nodes, layer) => { connectLayers(nodes, layers[layer + 1], retrying) })
  const latenciesMs: number[] = []
  const calls = generateCalls(layers[0] as SimulatedNode[], depth, time, Random.create(seed), latenciesMs)
  await time.run(measurementMs + callTimeoutMs)
  const sortedMs = Float64Array.from(latenciesMs).sort()
  return {
    depth,
    retrying,
    calls: calls.count,
    answered: latenciesMs.length / calls.count,
    retries: Math.max(...layers.map(nodes => computeRetryRatio(nodes))),
    amplification: lastLayerCalls / calls.count,
    p99: sortedMs[Math.floor(sortedMs.length * 0.99)] ?? 0
  }
}

function createLayer (time: VirtualTime, seed: number, failure: FailureSchedule | undefined): SimulatedNode[] {
  const scenario = failure === undefined ? faultlessScenario : { ...faultlessScenario, createFailureSchedule: () => failure }
  const nodes = [0, 1, 2].map(index => SimulatedNode.create({ index, time, scenario, random: Random.create(seed + index) }))
  const byId = new Map(nodes.map(node => [node.id, node]))
  const members = nodes.map(({ id }, index) => ({ id, service: 'orders', region: 'kochi', failureDomain: `kochi-${index % failureDomainCount}`, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' as const }))
  nodes.forEach((node, index) => {
    node.createRouter(byId, adaptiveSetup.createPolicy(), Random.create(seed + 100 + index), false)
    node.directory.accept({ service: 'orders', version: 1, members })
  })
  return nodes
}

/** Makes each upstream call the next layer through the node on its own VM. */
function connectLayers (nodes: readonly SimulatedNode[], nextLayer: readonly SimulatedNode[] | undefined, retrying: ChainResult['retrying']): void {
  if (nextLayer === undefined) return
  nodes.forEach((node, index) => {
    node.callNextLayer = async (call: Call): Promise<Outcome> => {
      const attempt = retrying === 'one-layer' ? call.attempt : 0
      const outcome = await (nextLayer[index] as SimulatedNode).router.run({ ...call, attempt, forwarded: false, depth: call.depth + 1 }, emptyBody, createNullAnswer())
      return retrying === 'one-layer' ? outcome : { ...outcome, retriesExhausted: false }
    }
  })
}

/** Sends calls with exponentially distributed gaps until the measured part ends; returns the running count of calls. */
function generateCalls (entryNodes: readonly SimulatedNode[], depth: number, time: VirtualTime, random: Random, latenciesMs: number[]): { count: number } {
  const gapMs = meanServiceMs * depth / (entryNodes.length * slotsPerTarget * firstLayerLoad)
  const calls = { count: 0 }
  const sendNext = (): void => {
    if (time.now() > measurementMs) return
    const entry = entryNodes[random.integerBelow(entryNodes.length)] as SimulatedNode
    const start = time.now()
    const call = createCall(calls.count++, meanServiceMs, start, defaultProfile, new AbortController().signal, 'caller')
    entry.router.run(call, emptyBody, createNullAnswer()).then(outcome => {
      if (outcome.verdict.kind === 'done') latenciesMs.push(time.now() - start)
    }, error => { queueMicrotask(() => { throw error }) })
    time.setTimer(sendNext, drawExponential(random, gapMs))
  }
  time.setTimer(sendNext, 0)
  return calls
}

/** Retries per first attempt over all nodes of a layer. */
function computeRetryRatio (nodes: readonly SimulatedNode[]): number {
  const retryCounters = nodes.map(({ router }) => (router.dump() as { orders?: { retries: { firsts: number, spent: number } } }).orders?.retries)
  const firstAttempts = retryCounters.reduce((sum, dump) => sum + (dump?.firsts ?? 0), 0)
  return retryCounters.reduce((sum, dump) => sum + (dump?.spent ?? 0), 0) / Math.max(1, firstAttempts)
}
