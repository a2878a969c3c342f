import fc from 'fast-check'
import { deflateRawSync } from 'node:zlib'
import { ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Announcer, decodeChangesNotice, decodeReaderNotice, encodeChangesNotice, encodeReaderNotice, ReaderElection } from '../src/core/readers/index.js'
import type { ReaderState } from '../src/core/readers/index.js'

const test = suite('readers')

/** A node of the cluster: its election, whether the store answers it, and whether it runs and exchanges notices. */
interface Member {
  readonly ip: string
  readonly failureDomain: string
  readonly election: ReaderElection
  store: 'answers' | 'fails'
  connected: boolean
}

/** Nodes that exchange notices. Datagrams are lost with probability `loss`. */
class Cluster {
  readonly members: Member[] = []
  /** Number of notices sent in state 'reading'. */
  readingNotices = 0
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private readonly loss: number

  constructor (domains: readonly string[], perDomain: number, seed: number, loss = 0) {
    this.random = Random.create(seed)
    this.loss = loss
    for (const failureDomain of domains) for (let count = 0; count < perDomain; count++) this.add(failureDomain, domains.length)
  }

  async advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
      await this.clock.advance(50)
      for (const member of this.members) {
        if (!member.connected) continue
        if (member.election.update()) member.election.recordCall(member.store === 'answers')
        if (member.election.isReader && this.clock.now() % 500 === 0) this.announce(member)
      }
    }
  }

  get readers (): Member[] {
    return this.members.filter(member => member.connected && member.election.isReader)
  }

  private add (failureDomain: string, domains: number): void {
    const index = this.members.length
    const ip = `10.0.0.${100 + index}`
    const election = ReaderElection.create({
      clock: this.clock,
      random: Random.create(index),
      logger: Logger.createSilent(),
      ip,
      failureDomain,
      domainCount: () => domains,
      isDiscovered: () => true,
      domainPeers: () => this.members.filter(other => other.ip !== ip && other.failureDomain === failureDomain).map(other => other.ip),
      onStateChange: () => { this.announce(member) }
    })
    const member: Member = { ip, failureDomain, election, store: 'answers', connected: true }
    this.members.push(member)
  }

  private announce ({ ip, failureDomain, election, connected }: Member): void {
    if (!connected) return
    if (election.state === 'reading') this.readingNotices++
    for (const other of this.members) {
      if (other.ip !== ip && other.connected && this.random.fraction() >= this.loss) other.election.receiveNotice(ip, election.state, failureDomain)
    }
  }
}

/** Returns the failure domains of the readers, sorted. */
function listDomains (readers: readonly Member[]): string[] {
  return readers.map(({ failureDomain }) => failureDomain).sort()
}

test('three readers in three failure domains of a large fleet, two readers in a single failure domain', async () => {
  const cluster = new Cluster(['a', 'b', 'c', 'd', 'e'], 39, 1)
  await cluster.advance(4_000)
  assert.is(new Set(listDomains(cluster.readers)).size, 3)
  assert.is(cluster.readers.length, 3)
  const small = new Cluster(['a', 'b', 'c'], 3, 1)
  await small.advance(2_000)
  assert.equal(listDomains(small.readers), ['a', 'b', 'c'])
  const single = new Cluster(['a'], 5, 1)
  await single.advance(2_000)
  assert.is(single.readers.length, 2)
})

test('a single node becomes a reader', async () => {
  const cluster = new Cluster(['a'], 1, 1)
  await cluster.advance(400)
  assert.is(cluster.readers.length, 1)
})

test('readers that stop sending notices are replaced within 1.6 s, also two at the same time', async () => {
  const cluster = new Cluster(['a', 'b', 'c'], 25, 2)
  await cluster.advance(2_000)
  for (const reader of cluster.readers.slice(0, 2)) reader.connected = false
  await cluster.advance(1_600)
  assert.ok(cluster.readers.length >= 3)
  await cluster.advance(2_000)
  assert.is(cluster.readers.length, 3)
})

test('when all readers stop sending notices, another node reads within 1.6 s', async () => {
  const cluster = new Cluster(['a', 'b', 'c', 'd'], 20, 8)
  await cluster.advance(4_000)
  for (const reader of cluster.readers) reader.connected = false
  await cluster.advance(1_600)
  assert.ok(cluster.readers.some(({ election }) => election.state === 'reading'))
})

test('in an isolated failure domain without a reader, a node becomes one', async () => {
  const cluster = new Cluster(['a', 'b', 'c', 'd'], 10, 9)
  await cluster.advance(2_000)
  const [domain = ''] = ['a', 'b', 'c', 'd'].filter(name => !listDomains(cluster.readers).includes(name))
  for (const member of cluster.members) if (member.failureDomain !== domain) member.connected = false
  await cluster.advance(1_700)
  assert.ok(cluster.readers.length >= 1)
})

test('a reader that leaves is replaced immediately', async () => {
  const cluster = new Cluster(['a', 'b', 'c'], 25, 3)
  await cluster.advance(2_000)
  cluster.readers[0]?.election.stop()
  await cluster.advance(400)
  assert.is(cluster.readers.length, 3)
})

test('a reader that the store refuses is replaced by another node', async () => {
  const cluster = new Cluster(['a', 'b'], 20, 4)
  await cluster.advance(2_000)
  const [refusedReader] = cluster.readers
  if (refusedReader !== undefined) refusedReader.store = 'fails'
  await cluster.advance(1_000)
  assert.is(cluster.readers.length, 2)
  assert.not.ok(cluster.readers.includes(refusedReader as Member))
})

test('few nodes call a store that answers no node, and the usual number of readers returns with it', async () => {
  const cluster = new Cluster(['a', 'b'], 20, 5)
  await cluster.advance(2_000)
  for (const member of cluster.members) member.store = 'fails'
  for (let round = 0; round < 40; round++) {
    await cluster.advance(500)
    const calling = cluster.readers.length
    assert.ok(calling <= 6, `${calling} of 40 nodes call the store`)
  }
  for (const member of cluster.members) member.store = 'answers'
  await cluster.advance(3_000)
  assert.is(cluster.readers.length, 2)
})

test('in a small deployment at least one node keeps calling an unavailable store, and reads soon after its return', async () => {
  const cluster = new Cluster(['a', 'b', 'c'], 3, 6)
  await cluster.advance(2_000)
  for (const member of cluster.members) member.store = 'fails'
  let withoutCallMs = 0
  for (let round = 0; round < 200; round++) {
    await cluster.advance(50)
    withoutCallMs = cluster.readers.length === 0 ? withoutCallMs + 50 : 0
    assert.ok(withoutCallMs <= 700, `no node called the store for ${withoutCallMs} ms`)
  }
  for (const member of cluster.members) member.store = 'answers'
  await cluster.advance(700)
  assert.ok(cluster.readers.some(({ election }) => election.state === 'reading'))
})

test('while the store is unavailable, no node that starts to call it announces that the store answers', async () => {
  const cluster = new Cluster(['a', 'b', 'c'], 3, 7)
  await cluster.advance(2_000)
  for (const member of cluster.members) member.store = 'fails'
  await cluster.advance(200)
  cluster.readingNotices = 0
  await cluster.advance(15_000)
  assert.is(cluster.readingNotices, 0)
})

test('readers are missing for 1.8 s at most while nodes disconnect and return, with a tenth of the datagrams lost', async () => {
  for (let seed = 0; seed < 10; seed++) {
    const cluster = new Cluster(['a', 'b'], 6, seed, 0.1)
    const random = Random.create(seed)
    let roundsWithoutReader = 0
    let maxReaders = 0
    for (let round = 0; round < 300; round++) {
      await cluster.advance(100)
      if (round % 40 === 39) {
        const member = cluster.members[random.integerBelow(cluster.members.length)]
        if (member !== undefined) member.connected = !member.connected || cluster.members.filter(({ connected }) => connected).length < 9
      }
      const readers = cluster.readers.length
      roundsWithoutReader = readers === 0 ? roundsWithoutReader + 1 : 0
      maxReaders = Math.max(maxReaders, readers)
      assert.ok(roundsWithoutReader <= 18, `no reader for ${roundsWithoutReader * 100} ms, seed ${seed}`)
    }
    assert.ok(maxReaders <= 4, `${maxReaders} readers at the same time, seed ${seed}`)
  }
})

const noticeArbitrary = fc.record({
  kind: fc.constant('reader' as const),
  state: fc.constantFrom<ReaderState>('trying', 'reading', 'failing', 'stopped'),
  failureDomain: fc.stringMatching(/^[a-z0-9-]{0,40}$/),
  era: fc.integer({ min: 0, max: 2 ** 47 }),
  revision: fc.integer({ min: 0, max: 2 ** 47 }),
  configurationVersion: fc.integer({ min: 0, max: 2 ** 47 })
}, { noNullPrototype: true })

test('notices survive encoding and decoding, and arbitrary bytes do not throw', () => {
  fc.assert(fc.property(noticeArbitrary, notice => { assert.equal(decodeReaderNotice(encodeReaderNotice(notice)), notice) }), { seed: 7 })
  const changes = { kind: 'changes' as const, era: 1, from: 3, to: 9, changes: [{ kind: 'gone' as const, id: 'x' }] }
  assert.equal(decodeChangesNotice(encodeChangesNotice(changes) ?? Buffer.alloc(0)), changes)
  fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), bytes => {
    decodeReaderNotice(Buffer.from(bytes))
    decodeChangesNotice(Buffer.from([5, ...bytes]))
  }), { seed: 7 })
})

test('the changes that a release makes in one second in a large fleet fit in one datagram', () => {
  const random = Random.create(3)
  const randomId = (): string => Math.floor(random.fraction() * 2 ** 40).toString(16).padStart(10, '0')
  const changes = Array.from({ length: 14 }, (_, index) => [
    { kind: 'target' as const, target: { id: `i-${randomId()}`, service: 'svc1a', address: `10.${index % 5}.0.${30 + index}:8101`, ip: `10.${index % 5}.0.${30 + index}`, failureDomain: `zone-${index % 5}`, slots: 11, state: 'ready' as const, coldMs: 3_000 } },
    { kind: 'gone' as const, id: `i-${randomId()}` }
  ]).flat()
  const notice = { kind: 'changes' as const, era: 1, from: 100, to: 128, changes }
  assert.equal(decodeChangesNotice(encodeChangesNotice(notice) ?? Buffer.alloc(0)), notice)
})

test('a datagram that decompresses to more than the maximum size is rejected', () => {
  const datagram = Buffer.concat([Buffer.from([5]), deflateRawSync(Buffer.alloc(1024 * 1024, ' '))])
  assert.is(decodeChangesNotice(datagram), undefined)
})

/** Creates the election of a node without other readers, which the store answers. */
async function createReadingElection (clock: ManualClock): Promise<ReaderElection> {
  const election = ReaderElection.create({ clock, random: Random.create(1), logger: Logger.createSilent(), ip: '10.0.0.1', failureDomain: 'a', domainCount: () => 1, isDiscovered: () => true, domainPeers: () => ['10.0.0.2'], onStateChange: () => {} })
  election.update()
  await clock.advance(400)
  election.update()
  election.recordCall(true)
  return election
}

test('a store without changes counts as answering until a call fails', async () => {
  const clock = ManualClock.create()
  const readingTimes: number[] = []
  const election = await createReadingElection(clock)
  const announcer = Announcer.create({ clock, election, failureDomain: 'a', configurationVersion: () => 4, otherAddresses: () => [], send: () => {}, onReading: () => { readingTimes.push(clock.now()) } })
  await clock.advance(2_400)
  assert.is(readingTimes.length, 5)
  election.recordCall(false)
  await clock.advance(2_400)
  announcer.close()
  assert.is(readingTimes.length, 5)
})

test('changes that do not fit in a datagram are announced by their revision only', async () => {
  const clock = ManualClock.create()
  const sent: Buffer[] = []
  const election = await createReadingElection(clock)
  const announcer = Announcer.create({ clock, election, failureDomain: 'a', configurationVersion: () => 4, otherAddresses: () => ['10.0.0.2'], send: bytes => { sent.push(bytes) }, onReading: () => {} })
  const random = Random.create(5)
  // Random ids compress poorly.
  announcer.announceChanges(1, { era: 1, revision: 50 }, Array.from({ length: 200 }, () => ({ kind: 'gone' as const, id: `target-${random.fraction()}` })))
  announcer.close()
  assert.equal(sent.map(bytes => decodeReaderNotice(bytes)), [{ kind: 'reader', state: 'reading', failureDomain: 'a', era: 1, revision: 50, configurationVersion: 4 }])
})

test.run()
