import fc from 'fast-check'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { ManualClock } from 'auburnturn/core/clock'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { isConnectionRefused } from '../src/core/exchange/index.js'
import { computeFingerprint, CrashDetector, CrashSync, decodeCrashDigest, decodeCrashNotice, findTrialTarget } from '../src/core/quarantine/index.js'
import type { CrashRecord, DetectedCrash, Quarantine, RunningRequest } from '../src/core/quarantine/index.js'
import { encodeCrashDigest, encodeCrashNotice } from '../src/core/quarantine/codec.js'
import { CrashRecords } from '../src/core/quarantine/crash-records.js'
import { createJob } from './fixtures/create-job.js'
import { createQuarantine } from './fixtures/create-quarantine.js'

const test = suite('quarantine')

const fingerprint = '00000000000000aa'
const neighbour = '00000000000000bb'

/** First conviction, in milliseconds. */
const convictionMs = 30_000

function createRequest (name = fingerprint, exclusive = false): RunningRequest {
  return { fingerprint: name, exclusive }
}

function createCrash (target: string, at: number, names: readonly string[], alone = names.length === 1): DetectedCrash {
  return { target, at, sign: 'refused-connection', suspects: names.map(name => ({ fingerprint: name, alone, cleared: false })) }
}

class DetectorHarness {
  readonly clock = ManualClock.create()
  readonly crashes: DetectedCrash[] = []
  stopping = false
  readonly detector = CrashDetector.create({ clock: this.clock, readTarget: () => 'i-1', isStopping: () => this.stopping, onCrash: crash => { this.crashes.push(crash) } })

  /** Starts requests and loses the connection of the first. */
  lose (...requests: readonly [RunningRequest, ...RunningRequest[]]): void {
    for (const request of requests) this.detector.start(request)
    this.detector.lose(requests[0])
  }

  /** Suspects of each crash. */
  get suspects (): string[][] {
    return this.crashes.map(({ suspects }) => suspects.map(suspect => `${suspect.fingerprint.slice(-2)}${suspect.alone ? ' alone' : ''}`))
  }
}

// These guard against requests that are blamed for what was no crash, or for the crash of another request (issue 32).
test('a lost connection becomes a crash when connections are refused, under all that was in flight', () => {
  const harness = new DetectorHarness()
  harness.lose(createRequest(), createRequest(neighbour))
  assert.equal(harness.suspects, [])
  harness.detector.recordRefusedConnection()
  harness.detector.recordRefusedConnection()
  assert.equal(harness.suspects, [['aa', 'bb']])
})

test('a lost connection becomes a crash when another incarnation answers', async () => {
  const harness = new DetectorHarness()
  harness.lose(createRequest())
  await harness.clock.advance(300)
  harness.detector.recordNewIncarnation()
  assert.equal(harness.suspects, [['aa alone']])
})

test('a connection that is refused just before the loss is noticed shows the crash as well', () => {
  const harness = new DetectorHarness()
  harness.detector.start(createRequest())
  harness.detector.recordRefusedConnection()
  harness.lose(createRequest(neighbour))
  assert.equal(harness.suspects, [['aa', 'bb']])
})

test('a reset connection is no crash if the target answers afterwards, nor if the sign comes late, nor if the target ends by plan', async () => {
  const answered = new DetectorHarness()
  answered.lose(createRequest())
  await answered.clock.advance(100)
  answered.detector.recordAnswer()
  answered.detector.recordRefusedConnection()
  assert.equal(answered.crashes, [])
  const late = new DetectorHarness()
  late.lose(createRequest())
  await late.clock.advance(2_100)
  late.detector.recordNewIncarnation()
  assert.equal(late.crashes, [])
  const planned = new DetectorHarness()
  planned.stopping = true
  planned.lose(createRequest())
  planned.detector.recordRefusedConnection()
  assert.equal(planned.crashes, [])
})

test('a target that ends while nothing runs, or restarts, blames nobody', () => {
  const harness = new DetectorHarness()
  const request = createRequest()
  harness.detector.start(request)
  harness.detector.end(request)
  harness.detector.recordRefusedConnection()
  harness.detector.recordNewIncarnation()
  assert.equal(harness.crashes, [])
})

test('a request that was given up just before is a suspect, and not alone; one that ran exclusively stays the only one to run alone', async () => {
  const harness = new DetectorHarness()
  const left = createRequest(neighbour)
  harness.detector.start(left)
  harness.detector.abandon(left)
  await harness.clock.advance(200)
  harness.lose(createRequest(fingerprint, true))
  harness.detector.recordRefusedConnection()
  assert.equal(harness.suspects, [['aa alone', 'bb']])
})

test('the fingerprint depends on service, caller, method, host, path and the whole body, not on the attempt', () => {
  const job = createJob(0, { headers: ['Host', 'a.example'], body: Buffer.from(`${'x'.repeat(5_000)}1`) })
  const other = [
    { service: 'other' }, { caller: 'other' }, { method: 'POST' }, { path: '/pages/?q' }, { headers: ['host', 'b.example'] },
    { body: Buffer.from(`${'x'.repeat(5_000)}2`) }
  ].map(changes => computeFingerprint({ ...job, ...changes }))
  assert.is(computeFingerprint({ ...job, id: 'r-2', headers: ['x-attempt-id', 'r-2', 'host', 'a.example'], deadlineAt: 9 }), computeFingerprint(job))
  assert.is(new Set([computeFingerprint(job), ...other]).size, other.length + 1)
})

test('a suspect runs alone after crashes that it shared, however many; one that it causes alone convicts it', () => {
  const clock = ManualClock.create()
  const quarantine = createQuarantine(clock)
  assert.is(quarantine.decide(fingerprint).kind, 'usual')
  for (const target of ['i-1', 'i-2', 'i-3', 'i-4']) quarantine.recordCrash(createCrash(target, 0, [fingerprint, neighbour]))
  assert.is(quarantine.decide(fingerprint).kind, 'alone')
  quarantine.recordCrash(createCrash('i-5', 0, [fingerprint]))
  assert.is(quarantine.decide(fingerprint).kind, 'refused')
  assert.is(quarantine.decide(neighbour).kind, 'alone')
})

test('an answer clears a request, at all nodes in whatever order they learn it', () => {
  const clock = ManualClock.create()
  const records: CrashRecord[] = []
  const one = createQuarantine(clock, { onChange: record => { records.push(record) } })
  one.recordCrash(createCrash('i-1', 0, [fingerprint, neighbour]))
  one.recordAnswer(neighbour)
  assert.is(one.decide(neighbour).kind, 'usual')
  fc.assert(fc.property(fc.shuffledSubarray([...records, ...records], { minLength: records.length * 2 }), order => {
    const other = createQuarantine(clock, { ip: '10.0.0.2' })
    for (const record of order) other.receive(record)
    assert.equal([other.decide(fingerprint).kind, other.decide(neighbour).kind], ['alone', 'usual'])
    assert.is(other.checksum, one.checksum)
  }), { seed: 32 })
})

test('what a target has answered of late is no suspect of the next crash, but of the one after it', () => {
  const quarantine = createQuarantine(ManualClock.create())
  quarantine.recordAnswer(neighbour)
  quarantine.recordCrash(createCrash('i-1', 0, [fingerprint, neighbour]))
  assert.equal([quarantine.decide(fingerprint).kind, quarantine.decide(neighbour).kind], ['alone', 'usual'])
  quarantine.recordCrash(createCrash('i-2', 0, [fingerprint, neighbour]))
  assert.is(quarantine.decide(neighbour).kind, 'alone')
})

// Guards against a conviction of half an hour after targets that crashed by themselves, all at once (issue 32).
test('crashes that a request shared with others, however many, do not lengthen its conviction', () => {
  const clock = ManualClock.create()
  const quarantine = createQuarantine(clock)
  for (const target of ['i-1', 'i-2', 'i-3', 'i-4']) quarantine.recordCrash(createCrash(target, 0, [fingerprint, neighbour]))
  quarantine.recordCrash(createCrash('i-5', 0, [fingerprint]))
  assert.equal(quarantine.decide(fingerprint), { kind: 'refused', retryAfterMs: convictionMs })
})

test('a conviction ends with a trial, a crash of the trial lengthens it, and an answer ends it', async () => {
  const clock = ManualClock.create()
  const quarantine = createQuarantine(clock)
  quarantine.recordCrash(createCrash('i-1', 0, [fingerprint, neighbour]))
  quarantine.recordCrash(createCrash('i-2', 0, [fingerprint]))
  assert.equal(quarantine.decide(fingerprint), { kind: 'refused', retryAfterMs: convictionMs })
  await clock.advance(convictionMs)
  assert.is(quarantine.decide(fingerprint).kind, 'alone')
  quarantine.recordCrash(createCrash('i-3', convictionMs, [fingerprint]))
  assert.equal(quarantine.decide(fingerprint), { kind: 'refused', retryAfterMs: 4 * convictionMs })
  quarantine.recordAnswer(fingerprint)
  assert.is(quarantine.decide(fingerprint).kind, 'usual')
})

// Guards against a request that crashes one target again and again and is never convicted, as it starts under its old id (issue 32).
test('a target that starts again under the id that it had can crash once more', () => {
  const quarantine = createQuarantine(ManualClock.create())
  quarantine.recordCrash(createCrash('i-1', 0, [fingerprint]))
  assert.is(quarantine.decide(fingerprint).kind, 'alone')
  quarantine.recordCrash(createCrash('i-1', 3_000, [fingerprint]))
  assert.is(quarantine.decide(fingerprint).kind, 'refused')
})

test('records are bounded and expire', async () => {
  const clock = ManualClock.create()
  const records = CrashRecords.create({ clock })
  for (let count = 0; count < 1_000; count++) {
    records.merge({ target: `i-${count}`, number: 0, node: '10.0.0.1', at: clock.now(), suspects: [{ fingerprint, alone: false, cleared: false }] })
    await clock.advance(1)
  }
  assert.is(records.size, 100)
  assert.is(records.find(fingerprint).length, 100)
  await clock.advance(31 * 60_000)
  assert.is(records.find(fingerprint).length, 0)
})

test('suspects run on one target, never if its crash would leave less than half of the service, and in any order of the list', () => {
  const targets = Array.from({ length: 4 }, (_, index) => ({ id: `i-${index}`, service: 's', state: 'up' as 'up' | 'down' }))
  const first = findTrialTarget(targets)
  assert.ok(first !== undefined)
  assert.is(findTrialTarget([...targets].reverse())?.id, first.id)
  const oneDown = targets.map(target => target === first ? { ...target, state: 'down' as const } : target)
  const second = findTrialTarget(oneDown)
  assert.ok(second !== undefined && second.id !== first.id)
  assert.is(findTrialTarget(oneDown.map(target => target.id === second.id ? { ...target, state: 'down' as const } : target)), undefined)
  assert.is(findTrialTarget([targets[0] as typeof first])?.id, 'i-0')
})

/** Nodes whose datagrams arrive after 1 ms, but for those that `loses` returns true for. */
function createSyncedNodes (count: number, clock: ManualClock, loses: (bytes: Buffer) => boolean): Array<{ readonly ip: string, readonly quarantine: Quarantine, readonly sync: CrashSync, sentBytes: number }> {
  const nodes = Array.from({ length: count }, (_, index) => {
    const ip = `10.0.0.${index + 1}`
    const quarantine = createQuarantine(clock, { ip, onChange: record => { node.sync.announce(record) } })
    const send = (bytes: Buffer, to: string): void => {
      node.sentBytes += bytes.length
      if (!loses(bytes)) clock.after(1, () => { receive(to, ip, bytes) })
    }
    const sync = CrashSync.create({ clock, random: Random.create(index), quarantine, peers: () => nodes.filter(other => other.ip !== ip).map(other => other.ip), send })
    const node = { ip, quarantine, sync, sentBytes: 0 }
    return node
  })
  const receive = (to: string, from: string, bytes: Buffer): void => {
    const node = nodes.find(({ ip }) => ip === to)
    const notice = decodeCrashNotice(bytes)
    const digest = decodeCrashDigest(bytes)
    if (notice !== undefined) node?.sync.receiveNotice(notice)
    if (digest !== undefined) node?.sync.receiveDigest(from, digest)
  }
  return nodes
}

// Guards against nodes that send a request on since they did not learn of the crashes under it (BUDGET; issue 32).
test('all nodes of a service learn of a crash at once, and within the time of the rule if most datagrams are lost', async () => {
  await assertSpread(3)
})

test('the same with seeds 11 and 19', async () => {
  for (const lossSeed of [11, 19]) await assertSpread(lossSeed)
})

/** Asserts that all nodes learn of two crashes, the second with 70 in 100 datagrams lost, chosen by the seed. */
async function assertSpread (lossSeed: number): Promise<void> {
  const clock = ManualClock.create()
  const random = Random.create(lossSeed)
  let lostShare = 0
  const nodes = createSyncedNodes(8, clock, () => random.fraction() < lostShare)
  const know = (target: string): boolean => nodes.every(({ quarantine }) => quarantine.crashes.some(crash => crash.target === target))
  nodes[0]?.quarantine.recordCrash(createCrash('i-1', 0, [fingerprint, neighbour]))
  await clock.advance(5)
  assert.ok(know('i-1'))
  lostShare = 0.7
  nodes[1]?.quarantine.recordCrash(createCrash('i-2', clock.now(), [fingerprint]))
  await clock.advance(3_000)
  assert.ok(know('i-2'))
  assert.ok(nodes.every(({ quarantine }) => quarantine.decide(fingerprint).kind === 'refused'))
  for (const { sync } of nodes) sync.close()
}

// Guards against a second attempt that reaches the trial target before the crash of the first one is known there (issue 32).
test('the notice of a crash leaves before the outcome of its request', () => {
  const clock = ManualClock.create()
  let sent = 0
  const [node] = createSyncedNodes(3, clock, () => sent++ < 0)
  node?.quarantine.recordCrash(createCrash('i-1', 0, [fingerprint]))
  assert.is(sent, 2)
  node?.sync.close()
})

test('a node that starts later, or was cut off, learns what the others know; nodes that know nothing send nothing', async () => {
  const clock = ManualClock.create()
  let cut = true
  const nodes = createSyncedNodes(4, clock, () => cut)
  nodes[0]?.quarantine.recordCrash(createCrash('i-1', 0, [fingerprint]))
  await clock.advance(10_000)
  assert.is(nodes[3]?.quarantine.hasRecords, false)
  cut = false
  await clock.advance(3_000)
  assert.ok(nodes.every(({ quarantine }) => quarantine.hasRecords))
  for (const { sync } of nodes) sync.close()
  const idle = createSyncedNodes(4, clock, () => false)
  await clock.advance(10_000)
  const before = idle.map(({ sentBytes }) => sentBytes)
  await clock.advance(60_000)
  assert.equal(idle.map(({ sentBytes }) => sentBytes), before)
  for (const { sync } of idle) sync.close()
})

test('notices and digests survive encoding and decoding, and arbitrary bytes do not throw', () => {
  const notice = { kind: 'crash' as const, target: 'i-1', number: 3, node: '10.0.0.1', ageMs: 40, suspects: [{ fingerprint, alone: true, cleared: false }, { fingerprint: neighbour, alone: false, cleared: true }] }
  assert.equal(decodeCrashNotice(encodeCrashNotice(notice)), notice)
  const digest = { kind: 'crash-digest' as const, checksum: 0xfedcba98, isAnswer: true }
  assert.equal(decodeCrashDigest(encodeCrashDigest(digest)), digest)
  const random = Random.create(4)
  const full = { ...notice, suspects: Array.from({ length: 64 }, () => ({ fingerprint: Math.floor(random.fraction() * 2 ** 48).toString(16).padStart(16, '0'), alone: false, cleared: false })) }
  assert.ok(encodeCrashNotice(full).length <= 1_200)
  fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), bytes => {
    decodeCrashNotice(Buffer.from([6, ...bytes]))
    decodeCrashDigest(Buffer.from([7, ...bytes]))
  }), { seed: 7 })
})

// Guards against a second attempt of a request that has just crashed its target, since that one still accepted a connection (issue 32).
test('a server that accepts connections and resets them until it ends is found to refuse them; one that works is not', async () => {
  let accepted = 0
  const server = createServer(socket => {
    accepted++
    socket.on('error', () => {})
    server.close()
    socket.resetAndDestroy()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  assert.is(await isConnectionRefused(address, 100), true)
  assert.is(accepted, 1)
  const working = createServer(() => {})
  await new Promise<void>(resolve => { working.listen(0, '127.0.0.1', resolve) })
  assert.is(await isConnectionRefused(`127.0.0.1:${(working.address() as AddressInfo).port}`, 100), false)
  working.close()
})

test.run()
