/** Measures the control plane for one fleet size, in a separate process: `worker.js NODES`. Prints one JSON line. */
import { Logger, Node, settingsSchema } from 'auburnturn'
import type { Member } from 'auburnturn'
import { PlatformService } from '@auburnturn/stand-ins'
import { computeQuantile, sleep } from './numbers.js'

const ip = '127.0.0.1'
const idleWindowMs = 11_000
const changeCount = 20
const targetsPerService = 10
const changeGapMs = 400
const failureDomains = ['one-a', 'one-b', 'two-a']

/** Traffic, reads of the platform and processor time since the start; `timeMs` is the time of the reading. */
interface Totals { readonly bytes: number, readonly messages: number, readonly reads: number, readonly cpuMs: number, readonly timeMs: number }

const nodeCount = Number(process.argv[2])
const platform = await PlatformService.create()
publishTimeout(1000)
platform.publish('service/orders', '{ "profile": "calm" }')
const controlPorts = new Map<number, number>()
let nodes = await startNodes()
platform.setMembers(nodes.map(createMember))
await waitForAllNodes(node => node.store.getProfile('orders').timeouts.callMs === 1000 && (node.dump().relay as { failureDomains: number }).failureDomains === failureDomains.length)
// Waits up to 20 s until the start notices of all nodes have spread, because an idle fleet has none in flight.
for (let second = 0; second < 20 && !nodes.every(node => node.notices.list().length === nodeCount); second++) await sleep(1_000)
await sleep(1_000)

const totalsBeforeIdle = readTotals()
await sleep(idleWindowMs)
const idleTotals = subtractTotals(readTotals(), totalsBeforeIdle)

const totalsBeforeChanges = readTotals()
const delaysMs: number[] = []
for (let change = 1; change <= changeCount; change++) {
  const startedAt = performance.now()
  publishTimeout(1000 + change)
  await waitForAllNodes(node => node.store.getProfile('orders').timeouts.callMs === 1000 + change)
  delaysMs.push(performance.now() - startedAt)
  await sleep(changeGapMs)
}
const changeTotals = subtractTotals(readTotals(), totalsBeforeChanges)

await Promise.all(nodes.map(async node => { await node.close() }))
const readsBeforeRestart = platform.reads
const readsPerSecond: number[] = []
let lastReads = platform.reads
const timer = setInterval(() => {
  readsPerSecond.push(platform.reads - lastReads)
  lastReads = platform.reads
}, 1_000)
const restartedAt = performance.now()
nodes = await startNodes()
await waitForAllNodes(node => node.store.getProfile('orders').timeouts.callMs === 1000 + changeCount)
const restartMs = performance.now() - restartedAt
await sleep(5_000)
clearInterval(timer)
const restartReads = platform.reads - readsBeforeRestart

const idleRate = { bytes: idleTotals.bytes / idleTotals.timeMs, messages: idleTotals.messages / idleTotals.timeMs, cpuMs: idleTotals.cpuMs / idleTotals.timeMs }
const changeCost = {
  bytes: changeTotals.bytes - idleRate.bytes * changeTotals.timeMs,
  messages: changeTotals.messages - idleRate.messages * changeTotals.timeMs,
  cpuMs: changeTotals.cpuMs - idleRate.cpuMs * changeTotals.timeMs
}
process.stdout.write(`${JSON.stringify({
  bench: 'control',
  case: 'fleet',
  nodes: nodeCount,
  readers: 2 * failureDomains.length,
  lastNodeP50Ms: computeQuantile(delaysMs, 0.5),
  lastNodeMaxMs: computeQuantile(delaysMs, 1),
  idleBytesPerNodePerSecond: 1000 * idleRate.bytes / nodeCount,
  idleMessagesPerNodePerSecond: 1000 * idleRate.messages / nodeCount,
  idleCorePerNode: idleRate.cpuMs / nodeCount,
  idleReadsPerSecond: 1000 * idleTotals.reads / idleTotals.timeMs,
  bytesPerNodeAndChange: changeCost.bytes / changeCount / nodeCount,
  messagesPerNodeAndChange: changeCost.messages / changeCount / nodeCount,
  readsPerChange: (changeTotals.reads - idleTotals.reads / idleTotals.timeMs * changeTotals.timeMs) / changeCount,
  cpuMsPerMessage: changeCost.cpuMs / changeCost.messages,
  cpuMsPerNodeAndChange: changeCost.cpuMs / changeCount / nodeCount,
  restartMs,
  restartReads,
  restartPeakReadsPerSecond: Math.max(...readsPerSecond)
})}\n`)
await Promise.all(nodes.map(async node => { await node.close() }))
await platform.close()

function publishTimeout (callMs: number): void {
  platform.publish('profile/calm', `{ "note": "${'x'.repeat(300)}", "timeouts": { "callMs": ${callMs} } }`)
}

async function startNodes (): Promise<Node[]> {
  const startedNodes = await Promise.all(Array.from({ length: nodeCount }, async (_, index) => await startNode(index)))
  for (const [index, node] of startedNodes.entries()) controlPorts.set(index, node.controlPort)
  return startedNodes
}

async function startNode (index: number): Promise<Node> {
  const freeAddress = { ip, port: 0 }
  const settings = settingsSchema.parse({
    ...createIdentity(index),
    callers: freeAddress,
    peers: freeAddress,
    control: { ip, port: controlPorts.get(index) ?? 0 },
    upstream: { ip, port: 9 },
    platform: [{ ip, port: platform.port }],
    platformReads: { fleetSize: nodeCount }
  })
  return await Node.create(settings, { logger: Logger.createSilent() })
}

/** Id, service and location of a node; the nodes are spread over the failure domains in rotation. */
function createIdentity (index: number): { id: string, service: string, region: string, failureDomain: string } {
  const failureDomain = failureDomains[index % failureDomains.length] as string
  const service = `service-${Math.floor(index / targetsPerService)}`
  return { id: `${service}-${index}`, service, region: failureDomain.split('-')[0] as string, failureDomain }
}

function createMember (node: Node, index: number): Member {
  return { ...createIdentity(index), ip, peerPort: node.peersPort, controlPort: node.controlPort, state: 'live' }
}

/** Resolves when the predicate holds for all nodes; throws after 60 s. */
async function waitForAllNodes (predicate: (node: Node) => boolean): Promise<void> {
  const limitMs = 60_000
  const startedAt = performance.now()
  while (!nodes.every(predicate)) {
    if (performance.now() - startedAt > limitMs) throw new Error(`not all of the ${nodeCount} nodes reached the expected state within ${limitMs} ms`)
    await sleep(1)
  }
}

/** Sums the counters of all clients. Every message has one client, but the nodes at both ends handle its bytes. */
function readTotals (): Totals {
  let bytes = 0
  let messages = 0
  for (const node of nodes) {
    const { controlClients } = node.dump().parts as { controlClients: { state: { bytes: number, messages: number } } }
    bytes += 2 * controlClients.state.bytes
    messages += controlClients.state.messages
  }
  const { user, system } = process.cpuUsage()
  return { bytes, messages, reads: platform.reads, cpuMs: (user + system) / 1000, timeMs: performance.now() }
}

function subtractTotals (after: Totals, before: Totals): Totals {
  return { bytes: after.bytes - before.bytes, messages: after.messages - before.messages, reads: after.reads - before.reads, cpuMs: after.cpuMs - before.cpuMs, timeMs: after.timeMs - before.timeMs }
}
