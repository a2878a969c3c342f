import { Random } from 'auburnturn'
import type { Call, Outcome } from 'auburnturn'
import { callMs, domains, meanMs, measuredMs, slots } from './constants.js'
import { adaptive } from './contenders.js'
import { drawExponential } from './sampler.js'
import { body, createAnswer, createCall } from './run.js'
import { defaults, plainScene } from './scenes.js'
import { TargetNode } from './target-node.js'
import type { Failure } from './upstream.js'
import { VirtualTime } from './virtual-time.js'

/** Calls of the last layer that lose their connection. */
const lostShare = 0.3

/** Slots of the first layer in use. */
const load = 0.3

/** Figures of chains of calls whose last layer fails. */
export interface DepthFigures {
  readonly depth: number
  /** `one-layer` obeys what the layer below says; `every-layer` does not. */
  readonly retrying: 'one-layer' | 'every-layer'
  readonly calls: number
  readonly answered: number
  /** Retries per first attempt, of the layer with the most. */
  readonly retries: number
  /** Calls that reach the last layer for one call of the first. */
  readonly amplification: number
  readonly p99: number
}

/** Runs chains of `depth` layers, each with three targets of its own. */
export async function runDepth (depth: number, retrying: DepthFigures['retrying'], seed: number): Promise<DepthFigures> {
  const time = VirtualTime.create()
  const losses = Random.create(seed)
  let reached = 0
  const lose: Failure = () => {
    reached++
    return losses.fraction() < lostShare ? 'lose' : 'none'
  }
  const layers = Array.from({ length: depth }, (_, layer) => createLayer(time, seed + 10 * layer, layer === depth - 1 ? lose : undefined))
  layers.forEach((nodes, layer) => { connectBelow(nodes, layers[layer + 1], retrying) })
  const latencies: number[] = []
  const calls = offer(layers[0] as TargetNode[], depth, time, Random.create(seed), latencies)
  await time.run(measuredMs + callMs)
  const sorted = Float64Array.from(latencies).sort()
  return {
    depth,
    retrying,
    calls: calls.count,
    answered: latencies.length / calls.count,
    retries: Math.max(...layers.map(nodes => shareOfRetries(nodes))),
    amplification: reached / calls.count,
    p99: sorted[Math.floor(sorted.length * 0.99)] ?? 0
  }
}

function createLayer (time: VirtualTime, seed: number, failure: Failure | undefined): TargetNode[] {
  const scene = failure === undefined ? plainScene : { ...plainScene, failure: () => failure }
  const nodes = [0, 1, 2].map(index => TargetNode.create({ index, time, scene, random: Random.create(seed + index) }))
  const byId = new Map(nodes.map(node => [node.id, node]))
  const members = nodes.map(({ id }, index) => ({ id, service: 'orders', region: 'kochi', failureDomain: `kochi-${index % domains}`, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' as const }))
  nodes.forEach((node, index) => {
    node.connect(byId, adaptive.createPolicy(), Random.create(seed + 100 + index), false)
    node.directory.accept({ service: 'orders', version: 1, members })
  })
  return nodes
}

/** Lets each upstream call the layer below through the node on its own VM. */
function connectBelow (nodes: readonly TargetNode[], below: readonly TargetNode[] | undefined, retrying: DepthFigures['retrying']): void {
  if (below === undefined) return
  nodes.forEach((node, index) => {
    node.next = async (call: Call): Promise<Outcome> => {
      const attempt = retrying === 'one-layer' ? call.attempt : 0
      const outcome = await (below[index] as TargetNode).router.run({ ...call, attempt, forwarded: false, depth: call.depth + 1 }, body, createAnswer())
      return retrying === 'one-layer' ? outcome : { ...outcome, retriesExhausted: false }
    }
  })
}

function offer (entries: readonly TargetNode[], depth: number, time: VirtualTime, random: Random, latencies: number[]): { count: number } {
  const gapMs = meanMs * depth / (entries.length * slots * load)
  const calls = { count: 0 }
  const next = (): void => {
    if (time.now() > measuredMs) return
    const entry = entries[random.integerBelow(entries.length)] as TargetNode
    const start = time.now()
    const call = createCall(calls.count++, meanMs, start, defaults, new AbortController().signal, 'caller')
    entry.router.run(call, body, createAnswer()).then(outcome => {
      if (outcome.verdict.kind === 'done') latencies.push(time.now() - start)
    }, error => { queueMicrotask(() => { throw error }) })
    time.setTimer(next, drawExponential(random, gapMs))
  }
  time.setTimer(next, 0)
  return calls
}

function shareOfRetries (nodes: readonly TargetNode[]): number {
  const dumps = nodes.map(({ router }) => (router.dump() as { orders?: { retries: { firsts: number, spent: number } } }).orders?.retries)
  const firsts = dumps.reduce((sum, dump) => sum + (dump?.firsts ?? 0), 0)
  return dumps.reduce((sum, dump) => sum + (dump?.spent ?? 0), 0) / Math.max(1, firsts)
}
