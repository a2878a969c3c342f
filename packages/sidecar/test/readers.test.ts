import fc from 'fast-check'
import { deflateRawSync } from 'node:zlib'
import { ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Announcer, decodeChanges, decodeReader, encodeChanges, encodeReader, ReadingDuty } from '../src/core/readers/index.js'
import type { ReaderState } from '../src/core/readers/index.js'

const test = suite('readers')

/** A node of the crowd: its duty, whether the store answers it, and whether others hear it. */
interface Member {
  readonly ip: string
  readonly failureDomain: string
  readonly duty: ReadingDuty
  store: 'answers' | 'fails'
  heard: boolean
}

/** Nodes that hear each other's notices; datagrams get lost with `loss`. */
class Crowd {
  readonly members: Member[] = []
  /** Notices of nodes that say that the store answers them. */
  claims = 0
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
        if (!member.heard) continue
        if (member.duty.update()) member.duty.record(member.store === 'answers')
        if (member.duty.onDuty && this.clock.now() % 500 === 0) this.tell(member)
      }
    }
  }

  get onDuty (): Member[] {
    return this.members.filter(member => member.heard && member.duty.onDuty)
  }

  private add (failureDomain: string, domains: number): void {
    const index = this.members.length
    const ip = `10.0.0.${100 + index}`
    const duty = ReadingDuty.create({
      clock: this.clock,
      random: Random.create(index),
      logger: Logger.createSilent(),
      ip,
      failureDomain,
      domains: () => domains,
      isKnown: () => true,
      neighbours: () => this.members.filter(other => other.ip !== ip && other.failureDomain === failureDomain).map(other => other.ip),
      onChange: () => { this.tell(member) }
    })
    const member: Member = { ip, failureDomain, duty, store: 'answers', heard: true }
    this.members.push(member)
  }

  private tell ({ ip, failureDomain, duty, heard }: Member): void {
    if (!heard) return
    if (duty.state === 'reading') this.claims++
    for (const other of this.members) {
      if (other.ip !== ip && other.heard && this.random.fraction() >= this.loss) other.duty.hear(ip, duty.state, failureDomain)
    }
  }
}

/** Failure domains of the readers, sorted. */
function domainsOf (readers: readonly Member[]): string[] {
  return readers.map(({ failureDomain }) => failureDomain).sort()
}

test('large fleet: three nodes read, in three failure domains; two where there is one or two', async () => {
  const crowd = new Crowd(['a', 'b', 'c', 'd', 'e'], 39, 1)
  await crowd.advance(4_000)
  assert.is(new Set(domainsOf(crowd.onDuty)).size, 3)
  assert.is(crowd.onDuty.length, 3)
  const small = new Crowd(['a', 'b', 'c'], 3, 1)
  await small.advance(2_000)
  assert.equal(domainsOf(small.onDuty), ['a', 'b', 'c'])
  const single = new Crowd(['a'], 5, 1)
  await single.advance(2_000)
  assert.is(single.onDuty.length, 2)
})

test('a node that is alone reads', async () => {
  const crowd = new Crowd(['a'], 1, 1)
  await crowd.advance(400)
  assert.is(crowd.onDuty.length, 1)
})

test('a reader that falls silent is replaced within 1.6 s, also when two do at once', async () => {
  const crowd = new Crowd(['a', 'b', 'c'], 25, 2)
  await crowd.advance(2_000)
  for (const silent of crowd.onDuty.slice(0, 2)) silent.heard = false
  await crowd.advance(1_600)
  assert.ok(crowd.onDuty.length >= 3)
  await crowd.advance(2_000)
  assert.is(crowd.onDuty.length, 3)
})

test('all readers at once fall silent: others read within 1.6 s', async () => {
  const crowd = new Crowd(['a', 'b', 'c', 'd'], 20, 8)
  await crowd.advance(4_000)
  for (const silent of crowd.onDuty) silent.heard = false
  await crowd.advance(1_600)
  assert.ok(crowd.onDuty.some(({ duty }) => duty.state === 'reading'))
})

test('nodes of a failure domain that is cut off from the others read for themselves', async () => {
  const crowd = new Crowd(['a', 'b', 'c', 'd'], 10, 9)
  await crowd.advance(2_000)
  const [domain = ''] = ['a', 'b', 'c', 'd'].filter(name => !domainsOf(crowd.onDuty).includes(name))
  for (const member of crowd.members) if (member.failureDomain !== domain) member.heard = false
  await crowd.advance(1_700)
  assert.ok(crowd.onDuty.length >= 1)
})

test('a reader that leaves is replaced at once', async () => {
  const crowd = new Crowd(['a', 'b', 'c'], 25, 3)
  await crowd.advance(2_000)
  crowd.onDuty[0]?.duty.stop()
  await crowd.advance(400)
  assert.is(crowd.onDuty.length, 3)
})

test('where the store refuses some nodes, others read in their place', async () => {
  const crowd = new Crowd(['a', 'b'], 20, 4)
  await crowd.advance(2_000)
  const [refused] = crowd.onDuty
  if (refused !== undefined) refused.store = 'fails'
  await crowd.advance(1_000)
  assert.is(crowd.onDuty.length, 2)
  assert.not.ok(crowd.onDuty.includes(refused as Member))
})

test('while the store answers nobody, few nodes ask it, and all read again when it is back', async () => {
  const crowd = new Crowd(['a', 'b'], 20, 5)
  await crowd.advance(2_000)
  for (const member of crowd.members) member.store = 'fails'
  for (let turn = 0; turn < 40; turn++) {
    await crowd.advance(500)
    const asking = crowd.onDuty.length
    assert.ok(asking <= 6, `${asking} of 40 ask`)
  }
  for (const member of crowd.members) member.store = 'answers'
  await crowd.advance(3_000)
  assert.is(crowd.onDuty.length, 2)
})

test('in a small deployment someone asks a store that is away all the while, and reads soon after its return', async () => {
  const crowd = new Crowd(['a', 'b', 'c'], 3, 6)
  await crowd.advance(2_000)
  for (const member of crowd.members) member.store = 'fails'
  let unasked = 0
  for (let turn = 0; turn < 200; turn++) {
    await crowd.advance(50)
    unasked = crowd.onDuty.length === 0 ? unasked + 50 : 0
    assert.ok(unasked <= 700, `nobody asked for ${unasked} ms`)
  }
  for (const member of crowd.members) member.store = 'answers'
  await crowd.advance(700)
  assert.ok(crowd.onDuty.some(({ duty }) => duty.state === 'reading'))
})

test('while a store is away no node that begins to ask it claims that it answers', async () => {
  const crowd = new Crowd(['a', 'b', 'c'], 3, 7)
  await crowd.advance(2_000)
  for (const member of crowd.members) member.store = 'fails'
  await crowd.advance(200)
  crowd.claims = 0
  await crowd.advance(15_000)
  assert.is(crowd.claims, 0)
})

test('someone reads nearly always, whatever nodes fall silent and return, with a tenth of the datagrams lost', async () => {
  for (let seed = 0; seed < 10; seed++) {
    const crowd = new Crowd(['a', 'b'], 6, seed, 0.1)
    const random = Random.create(seed)
    let missed = 0
    let most = 0
    for (let turn = 0; turn < 300; turn++) {
      await crowd.advance(100)
      if (turn % 40 === 39) {
        const member = crowd.members[random.integerBelow(crowd.members.length)]
        if (member !== undefined) member.heard = !member.heard || crowd.members.filter(({ heard }) => heard).length < 9
      }
      const readers = crowd.onDuty.length
      missed = readers === 0 ? missed + 1 : 0
      most = Math.max(most, readers)
      assert.ok(missed <= 18, `nobody for ${missed * 100} ms, seed ${seed}`)
    }
    assert.ok(most <= 4, `${most} readers at once, seed ${seed}`)
  }
})

const notice = fc.record({
  kind: fc.constant('reader' as const),
  state: fc.constantFrom<ReaderState>('trying', 'reading', 'failing', 'stopped'),
  failureDomain: fc.stringMatching(/^[a-z0-9-]{0,40}$/),
  revision: fc.integer({ min: 0, max: 2 ** 47 }),
  configurationVersion: fc.integer({ min: 0, max: 2 ** 47 })
}, { noNullPrototype: true })

test('notices come out as they went in, and other bytes are none', () => {
  fc.assert(fc.property(notice, one => { assert.equal(decodeReader(encodeReader(one)), one) }), { seed: 7 })
  const changes = { kind: 'changes' as const, from: 3, to: 9, changes: [{ kind: 'gone' as const, id: 'x' }] }
  assert.equal(decodeChanges(encodeChanges(changes) ?? Buffer.alloc(0)), changes)
  fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), bytes => {
    decodeReader(Buffer.from(bytes))
    decodeChanges(Buffer.from([5, ...bytes]))
  }), { seed: 7 })
})

test('large fleet: what a release changes in a second fits in one datagram', () => {
  const random = Random.create(3)
  const name = (): string => Math.floor(random.fraction() * 2 ** 40).toString(16).padStart(10, '0')
  const changes = Array.from({ length: 14 }, (_, index) => [
    { kind: 'target' as const, target: { id: `i-${name()}`, service: 'svc1a', address: `10.${index % 5}.0.${30 + index}:8101`, ip: `10.${index % 5}.0.${30 + index}`, failureDomain: `zone-${index % 5}`, slots: 11, state: 'ready' as const, coldMs: 3_000 } },
    { kind: 'gone' as const, id: `i-${name()}` }
  ]).flat()
  const notice = { kind: 'changes' as const, from: 100, to: 128, changes }
  assert.equal(decodeChanges(encodeChanges(notice) ?? Buffer.alloc(0)), notice)
})

test('a datagram that unpacks to more than any notice is none', () => {
  const bomb = Buffer.concat([Buffer.from([5]), deflateRawSync(Buffer.alloc(1024 * 1024, ' '))])
  assert.is(decodeChanges(bomb), undefined)
})

test('a store that has nothing new to say counts as answering all the while', async () => {
  const clock = ManualClock.create()
  const marks: number[] = []
  const duty = ReadingDuty.create({ clock, random: Random.create(1), logger: Logger.createSilent(), ip: '10.0.0.1', failureDomain: 'a', domains: () => 1, isKnown: () => true, neighbours: () => ['10.0.0.2'], onChange: () => {} })
  duty.update()
  await clock.advance(400)
  duty.update()
  duty.record(true)
  const announcer = Announcer.create({ clock, duty, failureDomain: 'a', configurationVersion: () => 4, others: () => [], send: () => {}, onReading: () => { marks.push(clock.now()) } })
  await clock.advance(2_400)
  assert.is(marks.length, 5)
  duty.record(false)
  await clock.advance(2_400)
  announcer.close()
  assert.is(marks.length, 5)
})

test('what does not fit in a datagram is told by its revision', async () => {
  const clock = ManualClock.create()
  const sent: Buffer[] = []
  const duty = ReadingDuty.create({ clock, random: Random.create(1), logger: Logger.createSilent(), ip: '10.0.0.1', failureDomain: 'a', domains: () => 1, isKnown: () => true, neighbours: () => ['10.0.0.2'], onChange: () => {} })
  duty.update()
  await clock.advance(400)
  duty.update()
  duty.record(true)
  const announcer = Announcer.create({ clock, duty, failureDomain: 'a', configurationVersion: () => 4, others: () => ['10.0.0.2'], send: bytes => { sent.push(bytes) }, onReading: () => {} })
  const random = Random.create(5)
  // Names that don't pack well.
  announcer.share(1, 50, Array.from({ length: 200 }, () => ({ kind: 'gone' as const, id: `target-${random.fraction()}` })))
  announcer.close()
  assert.equal(sent.map(bytes => decodeReader(bytes)), [{ kind: 'reader', state: 'reading', failureDomain: 'a', revision: 50, configurationVersion: 4 }])
})

test.run()
