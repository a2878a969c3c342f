import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { Clock, ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DatagramOrder, DatagramStamps, readStamp } from '../src/core/attribution/index.js'
import type { DatagramStamp } from '../src/core/attribution/index.js'
import { encodeChangesNotice, encodeReaderNotice } from '../src/core/readers/index.js'
import { computeIdChecksum, DatagramTransport, encodeSubscription } from '../src/core/reports/index.js'
import { Directory } from '../src/core/targets/index.js'
import type { TargetReport } from '../src/core/targets/index.js'
import { TestCluster } from './fixtures/test-cluster.js'

const test = suite('attribution of datagrams')

/** Port of the datagrams of all nodes in a test cluster. */
const datagramPort = 27_010

/** VM without a node, on which the test receives what the nodes send to all others. */
const silentVm = 8

/** How long a datagram that changes something would be visible, until the next heartbeat replaces it, in milliseconds. */
const watchedMs = 200

/** A test cluster of two nodes, and a VM without a node that receives what they send to all others. */
interface Harness {
  readonly cluster: TestCluster
  /** Datagrams that the node on VM 1 has sent to the silent VM. */
  readonly received: Buffer[]
  /** Sends bytes to node 0 from the address of VM 1. */
  readonly sendFromOne: (bytes: Buffer) => void
}

async function bind (ip: string, port: number): Promise<Socket> {
  const socket = createSocket('udp4')
  await new Promise<void>(resolve => { socket.bind(port, ip, resolve) })
  return socket
}

async function withHarness (check: (harness: Harness) => Promise<void>): Promise<void> {
  const cluster = await TestCluster.create(['shop', 'shop'])
  const listener = await bind(cluster.getIp(silentVm), datagramPort)
  const sender = await bind(cluster.getIp(1), 0)
  const received: Buffer[] = []
  listener.on('message', (bytes, { address }) => { if (address === cluster.getIp(1)) received.push(bytes) })
  try {
    cluster.putTarget(silentVm, 'shop', 'ready', 'i-silent')
    // The nodes know the VM now, so they send it the reports that go to all nodes.
    await cluster.waitUntil(() => cluster.nodes.every(node => JSON.stringify(node.dump()).includes('i-silent')))
    await check({ cluster, received, sendFromOne: bytes => { sender.send(bytes, datagramPort, cluster.getIp(0)) } })
  } finally {
    listener.close()
    sender.close()
    await cluster.close()
  }
}

/** The last report of node 1 that node 0 holds. */
function findReport (cluster: TestCluster): TargetReport | undefined {
  const { directory: { heard } } = cluster.nodes[0]?.dump() as { directory: { heard: Array<[string, { report: TargetReport }]> } }
  return heard.find(([ip]) => ip === cluster.getIp(1))?.[1].report
}

/** Waits until node 1 has sent a report that contains a text to all nodes. */
async function waitForReport ({ cluster, received }: Harness, text: string): Promise<Buffer> {
  await cluster.waitUntil(() => received.some(bytes => bytes.includes(text)))
  return received.find(bytes => bytes.includes(text)) as Buffer
}

/** Changes the incarnation of the target on VM 1; resolves when node 0 knows it. */
async function changeTarget ({ cluster }: Harness, id: string): Promise<void> {
  const target = cluster.targets[1]
  if (target === undefined) throw new Error('there is no target on VM 1')
  target.id = id
  await cluster.waitUntil(() => findReport(cluster)?.id === id)
}

/** Sends a datagram several times and checks that node 0 holds on to the target that it knows. */
async function expectNoChange ({ cluster, sendFromOne }: Harness, bytes: Buffer, id: string): Promise<void> {
  const endsAt = Date.now() + watchedMs
  while (Date.now() < endsAt) {
    sendFromOne(bytes)
    await new Promise(resolve => setTimeout(resolve, 5))
    assert.is(findReport(cluster)?.id, id)
  }
}

// Guards against requests that are sent to an incarnation of a target that has ended, because its last report arrived late.
test('datagrams: a report that arrives after a later one changes nothing', async () => {
  await withHarness(async harness => {
    await changeTarget(harness, 'i-first')
    const late = await waitForReport(harness, 'i-first')
    await changeTarget(harness, 'i-second')
    await expectNoChange(harness, late, 'i-second')
    await changeTarget(harness, 'i-third')
  })
})

// Guards against the reports of a process that has ended: those of its successor at the same address count.
test('datagrams: a report of the earlier process of a node changes nothing', async () => {
  await withHarness(async harness => {
    const { cluster } = harness
    await changeTarget(harness, 'i-first')
    const late = await waitForReport(harness, 'i-first')
    await cluster.nodes[1]?.close()
    const target = cluster.targets[1]
    if (target !== undefined) target.id = 'i-second'
    await cluster.startNode(1, 'shop')
    await cluster.waitUntil(() => findReport(cluster)?.id === 'i-second')
    await expectNoChange(harness, late, 'i-second')
    await changeTarget(harness, 'i-third')
  })
})

// Guards against the state of another node that began to use the address: it counts as soon as it is heard.
test('datagrams: the reports of another VM at the same address replace those of the earlier one', async () => {
  await withHarness(async harness => {
    const { cluster } = harness
    await changeTarget(harness, 'i-first')
    await cluster.nodes[1]?.close()
    const target = cluster.targets[1]
    if (target !== undefined) target.id = 'i-other'
    await cluster.startNode(1, 'stock')
    await cluster.waitUntil(() => findReport(cluster)?.service === 'stock')
    assert.is(findReport(cluster)?.id, 'i-other')
  })
})

/** Sends stamps of one address to a new order, each with its time in milliseconds; returns which were accepted. */
function acceptAll (...received: ReadonlyArray<readonly [process: number, message: number, at: number]>): boolean[] {
  const order = DatagramOrder.create()
  return received.map(([process, message, at]) => order.accept('a', { process, message }, at))
}

// Guards against a node that is not heard again after its numbers have wrapped around, or after an address went back to it.
test('datagrams: repeated, overtaken and replaced ones are refused while they may be under way', () => {
  assert.equal(acceptAll([1, 5, 0], [1, 5, 1], [1, 4, 2], [1, 6, 3]), [true, false, false, true], 'repeated and overtaken')
  assert.equal(acceptAll([1, 65_535, 0], [1, 0, 1], [1, 65_535, 2]), [true, true, false], 'numbers wrap around')
  assert.equal(acceptAll([1, 5, 0], [1, 4, 5_001]), [true, true], 'no datagram is under way for that long')
  assert.equal(acceptAll([1, 5, 0], [2, 1, 1], [1, 6, 2], [2, 2, 3]), [true, true, false, true], 'replaced by another process')
  assert.equal(acceptAll([1, 5, 0], [2, 1, 1], [2, 2, 4_000], [1, 6, 5_002], [2, 3, 5_003]), [true, true, true, false, true], 'late, while its successor is heard')
  assert.equal(acceptAll([1, 5, 0], [2, 1, 1], [3, 1, 2], [1, 6, 3], [3, 2, 4]), [true, true, true, false, true], 'replaced twice')
  assert.equal(acceptAll([1, 5, 0], [2, 1, 1], [1, 6, 5_002]), [true, true, true], 'back after its successor fell silent')
})

// Guards against numbers that are used up within one report, since all copies of it have one.
test('datagrams: copies of a message have one stamp, and each message its own', () => {
  const stamps = DatagramStamps.create({ random: Random.create(1) })
  const [first, second] = [Buffer.from('same'), Buffer.from('same')]
  const [one, copy, other] = [first, first, second].map(bytes => readStamp(stamps.stamp(bytes))) as [DatagramStamp, DatagramStamp, DatagramStamp]
  assert.equal(one, copy)
  assert.is(other.message, one.message + 1)
  assert.is(readStamp(Buffer.alloc(3)), undefined)
})

// Guards against a reader that counts after it has stopped, and against a change that is lost because a later one overtook it.
test('datagrams: an overtaken notice of a reader changes nothing, while changes and subscriptions count in any order', async () => {
  const ip = '127.0.0.1'
  const kinds: string[] = []
  const transport = await DatagramTransport.create({ ip, port: 27_420, clock: Clock.create(), random: Random.create(1), logger: Logger.createSilent(), onMessage: (_ip, { kind }) => { kinds.push(kind) } })
  const sender = await bind(ip, 0)
  const notice = encodeReaderNotice({ kind: 'reader', state: 'reading', failureDomain: 'a', era: 1, revision: 7, configurationVersion: 3 })
  const changes = encodeChangesNotice({ kind: 'changes', era: 1, from: 7, to: 8, changes: [] }) ?? Buffer.alloc(0)
  for (const [message, bytes] of [[2, notice], [1, notice], [2, notice], [2, changes], [1, changes], [1, encodeSubscription()], [3, notice]] as const) {
    sender.send([Buffer.from([9, 0, message, 0]), bytes], 27_420, ip)
  }
  const deadlineAt = Date.now() + 2_000
  while (kinds.length < 5 && Date.now() < deadlineAt) await new Promise(resolve => setTimeout(resolve, 5))
  await new Promise(resolve => setTimeout(resolve, 20))
  assert.equal(kinds, ['reader', 'changes', 'changes', 'subscription', 'reader'])
  sender.close()
  transport.close()
})

// Guards against the load of another target, which has used the address before or uses it now.
test('datagrams: the figures of another target at the address change nothing', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.recordReport('10.0.0.1', { id: 'i-1', service: 's', failureDomain: 'a', state: 'up', fresh: true, running: 1, waiting: 0, limit: 4, slowness: 1, failures: 0, rateLimit: Infinity, rateAllowance: Infinity })
  const readRunning = (): number | undefined => directory.findCandidates('s').at(0)?.running
  directory.recordFigures('10.0.0.1', { running: 3 }, id => computeIdChecksum(id) === computeIdChecksum('i-2'))
  assert.is(readRunning(), 1)
  directory.recordFigures('10.0.0.1', { running: 3 }, id => computeIdChecksum(id) === computeIdChecksum('i-1'))
  assert.is(readRunning(), 3)
})

test.run()
