import { ManualClock } from 'auburnturn/core/clock'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseTarget, Directory, FailureRate } from '../src/core/targets/index.js'
import type { Candidate, ListedTarget, TargetReport } from '../src/core/targets/index.js'

const test = suite('targets')

function createCandidate (id: string, changes: Partial<Candidate> = {}): Candidate {
  return { id, service: 'shop', ip: `ip-${id}`, failureDomain: 'a', state: 'up', running: 0, waiting: 0, limit: 8, slowness: 1, cold: false, failures: 0, reportAgeMs: 0, ...changes }
}

function choose (...candidates: Candidate[]): string | undefined {
  return chooseTarget({ candidates, failureDomain: 'a', tried: new Set(), random: Random.create(1) })?.id
}

const choices: ReadonlyArray<readonly [string, Partial<Candidate>]> = [
  ['works slowly at the moment', { slowness: 4 }],
  ['is full', { running: 8, waiting: 4 }],
  ['is in another failure domain', { failureDomain: 'b' }],
  ['has just started', { cold: true }],
  ['fails half of its requests', { failures: 0.5 }],
  ['was not heard for seconds', { reportAgeMs: 3_000 }],
  ['is down', { state: 'down' }],
  ['is leaving', { state: 'closing' }]
]

for (const [what, changes] of choices) {
  test(`a target that ${what} is not chosen before a free one`, () => {
    assert.is(choose(createCandidate('worse', changes), createCandidate('free')), 'free')
  })
}

test('a slow target at home gives way to a fast one elsewhere', () => {
  assert.is(choose(createCandidate('home', { slowness: 4 }), createCandidate('away', { failureDomain: 'b' })), 'away')
})

test('a target whose node is silent is better than none', () => {
  assert.is(choose(createCandidate('silent', { reportAgeMs: Infinity }), createCandidate('gone', { state: 'closing' })), 'silent')
})

test('failures fade, so that a target is tried again', () => {
  const share = FailureRate.create()
  for (let count = 0; count < 20; count++) share.record(0, true)
  assert.ok(share.read(0) > 0.8)
  assert.ok(share.read(10_000) < 0.05)
})

function createListed (id: string, changes: Partial<ListedTarget> = {}): ListedTarget {
  return { id, service: 'shop', address: '10.0.0.1:80', ip: '10.0.0.1', failureDomain: 'a', slots: 10, state: 'ready', coldMs: 0, ...changes }
}

function createReport (id: string, changes: Partial<TargetReport> = {}): TargetReport {
  return { id, service: 'shop', failureDomain: 'a', state: 'up', fresh: false, running: 0, waiting: 0, limit: 8, slowness: 1, failures: 0, ...changes }
}

function idsOf (directory: Directory): string[] {
  return directory.findCandidates('shop').map(({ id }) => id)
}

test('power cut: entries of lifetimes that are over are left for the one that the node there names', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListed('old'))
  directory.recordReport('10.0.0.1', createReport('new', { fresh: true }))
  assert.equal(idsOf(directory), ['new'])
  directory.put(createListed('new'))
  directory.recordReport('10.0.0.1', createReport('new'))
  assert.equal(idsOf(directory), ['new'])
})

test('a target that leaves is not chosen, and no word of a node brings it back', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListed('one'))
  directory.put(createListed('one', { state: 'draining' }))
  directory.recordReport('10.0.0.1', createReport('one'))
  assert.equal(idsOf(directory), [])
  directory.remove('one')
  directory.recordReport('10.0.0.1', createReport('one', { fresh: true }))
  assert.equal(idsOf(directory), [])
})

test('a target that is never listed is used on the word of its node for some seconds only', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  for (let second = 0; second < 8; second++) {
    directory.recordReport('10.0.0.1', createReport('new', { fresh: true }))
    assert.equal(idsOf(directory), second < 6 ? ['new'] : [], `second ${second}`)
    await clock.advance(1_000)
  }
})

test('after an outage of the list, a missing entry may come back for two seconds', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  directory.recordListResponse()
  directory.put(createListed('lapsed'))
  await clock.advance(8_000)
  directory.recordListResponse()
  directory.remove('lapsed')
  assert.equal(idsOf(directory), ['lapsed'])
  await clock.advance(2_000)
  assert.equal(idsOf(directory), [])
})

test('an entry that is missing is not told to other nodes as listed, though it may come back', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  directory.recordListResponse()
  directory.put(createListed('lapsed'))
  directory.put(createListed('kept', { address: '10.0.0.2:80', ip: '10.0.0.2' }))
  await clock.advance(8_000)
  directory.recordListResponse()
  directory.remove('lapsed')
  assert.equal(idsOf(directory).sort(), ['kept', 'lapsed'])
  assert.equal(directory.listedTargets.map(({ id }) => id), ['kept'])
})

test('without an outage, a missing entry is gone at once', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  for (let turn = 0; turn < 5; turn++) {
    directory.recordListResponse()
    directory.put(createListed('one'))
    await clock.advance(1_000)
  }
  directory.remove('one')
  assert.equal(idsOf(directory), [])
})

test('an address that another service took over names its target only', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListed('old'))
  directory.recordReport('10.0.0.1', createReport('next', { service: 'stock', fresh: true }))
  assert.equal(idsOf(directory), [])
  assert.equal(directory.findCandidates('stock').map(({ id }) => id), ['next'])
})

test('requests that a report can not have counted yet are added to it', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListed('one'))
  directory.recordReport('10.0.0.1', createReport('one', { running: 3 }))
  directory.recordRequestStart('one')
  directory.recordRequestStart('one')
  assert.is(directory.findCandidates('shop')[0]?.running, 5)
  directory.recordReport('10.0.0.1', createReport('one', { running: 5 }))
  assert.is(directory.findCandidates('shop')[0]?.running, 5)
})

test.run()
