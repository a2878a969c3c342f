import { ManualClock } from 'auburnturn/core/clock'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { unlimited } from '../src/core/rate-limit/index.js'
import { chooseTarget, findAvoidedTarget, Directory, FailureRate } from '../src/core/targets/index.js'
import type { Candidate, TargetReport } from '../src/core/targets/index.js'
import { createListedTarget } from './fixtures/create-listed-target.js'

const test = suite('targets')

function createCandidate (id: string, changes: Partial<Candidate> = {}): Candidate {
  return { id, service: 'shop', ip: `ip-${id}`, failureDomain: 'a', state: 'up', running: 0, waiting: 0, limit: 8, slowness: 1, cold: false, failures: 0, rateWaitMs: 0, reportAgeMs: 0, ...changes }
}

function choose (...candidates: Candidate[]): string | undefined {
  return chooseTarget({ candidates, failureDomain: 'a', tried: new Set(), workMs: 100, random: Random.create(1) })?.id
}

const inferiorCandidates: ReadonlyArray<readonly [string, Partial<Candidate>]> = [
  ['is slow', { slowness: 4 }],
  ['is full', { running: 8, waiting: 4 }],
  ['is in another failure domain', { failureDomain: 'b' }],
  ['has just started', { cold: true }],
  ['fails half of its requests', { failures: 0.5 }],
  ['is on an unresponsive node', { reportAgeMs: 3_000 }],
  ['is at its rate limit', { rateWaitMs: 500 }],
  ['takes no requests', { rateWaitMs: Infinity }],
  ['is down', { state: 'down' }],
  ['is closing', { state: 'closing' }]
]

for (const [description, changes] of inferiorCandidates) {
  test(`a target that ${description} is not preferred to an idle one`, () => {
    assert.is(choose(createCandidate('inferior', changes), createCandidate('idle')), 'idle')
  })
}

test('a target that is avoided because of its rate limit is found, and only then', () => {
  const find = (chosen: Candidate, ...others: Candidate[]): string | undefined =>
    findAvoidedTarget({ candidates: [chosen, ...others], failureDomain: 'a', tried: new Set(), workMs: 100, random: Random.create(1) }, chosen)?.id
  const chosen = createCandidate('chosen', { running: 4 })
  assert.is(find(chosen, createCandidate('limited', { rateWaitMs: 500 })), 'limited')
  assert.is(find(chosen, createCandidate('limited and full', { rateWaitMs: 500, running: 8, waiting: 4 })), undefined)
  assert.is(find(chosen, createCandidate('unlimited', { running: 5 })), undefined)
})

test('a fast target in another failure domain is preferred to a slow one in the own domain', () => {
  assert.is(choose(createCandidate('slow', { slowness: 4 }), createCandidate('fast', { failureDomain: 'b' })), 'fast')
})

test('a target on an unresponsive node is chosen if no other is left', () => {
  assert.is(choose(createCandidate('unresponsive', { reportAgeMs: Infinity }), createCandidate('closing', { state: 'closing' })), 'unresponsive')
})

test('the failure rate decays, so that a target is tried again', () => {
  const failureRate = FailureRate.create()
  for (let count = 0; count < 20; count++) failureRate.record(0, true)
  assert.ok(failureRate.read(0) > 0.8)
  assert.ok(failureRate.read(10_000) < 0.05)
})

function createReport (id: string, changes: Partial<TargetReport> = {}): TargetReport {
  return { id, service: 'shop', failureDomain: 'a', state: 'up', fresh: false, running: 0, waiting: 0, limit: 8, slowness: 1, failures: 0, rateLimit: unlimited, rateAllowance: unlimited, ...changes }
}

function findCandidateIds (directory: Directory): string[] {
  return directory.findCandidates('shop').map(({ id }) => id)
}

test('power cut: a listed target of an earlier incarnation is replaced by the one that the node reports', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListedTarget('old'))
  directory.recordReport('10.0.0.1', createReport('new', { fresh: true }))
  assert.equal(findCandidateIds(directory), ['new'])
  directory.put(createListedTarget('new'))
  directory.recordReport('10.0.0.1', createReport('new'))
  assert.equal(findCandidateIds(directory), ['new'])
})

test('a draining target is not chosen, nor again because of a later report once it is removed', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListedTarget('one'))
  directory.put(createListedTarget('one', { state: 'draining' }))
  directory.recordReport('10.0.0.1', createReport('one'))
  assert.equal(findCandidateIds(directory), [])
  directory.remove('one')
  directory.recordReport('10.0.0.1', createReport('one', { fresh: true }))
  assert.equal(findCandidateIds(directory), [])
})

test('a target that is never listed is used on the report of its node for 6 s only', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  for (let second = 0; second < 8; second++) {
    directory.recordReport('10.0.0.1', createReport('new', { fresh: true }))
    assert.equal(findCandidateIds(directory), second < 6 ? ['new'] : [], `second ${second}`)
    await clock.advance(1_000)
  }
})

test('a missing entry stays usable for up to 2 s after an outage of the list', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  directory.recordListResponse()
  directory.put(createListedTarget('missing'))
  await clock.advance(8_000)
  directory.recordListResponse()
  directory.remove('missing')
  assert.equal(findCandidateIds(directory), ['missing'])
  await clock.advance(2_000)
  assert.equal(findCandidateIds(directory), [])
})

test('a missing entry that may still return is not sent to other nodes as listed', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  directory.recordListResponse()
  directory.put(createListedTarget('missing'))
  directory.put(createListedTarget('kept', { address: '10.0.0.2:80', ip: '10.0.0.2' }))
  await clock.advance(8_000)
  directory.recordListResponse()
  directory.remove('missing')
  assert.equal(findCandidateIds(directory).sort(), ['kept', 'missing'])
  assert.equal(directory.listedTargets.map(({ id }) => id), ['kept'])
})

test('without an outage, a missing entry is removed immediately', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock })
  for (let second = 0; second < 5; second++) {
    directory.recordListResponse()
    directory.put(createListedTarget('one'))
    await clock.advance(1_000)
  }
  directory.remove('one')
  assert.equal(findCandidateIds(directory), [])
})

test('an address that another service uses now yields only the target of that service', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListedTarget('old'))
  directory.recordReport('10.0.0.1', createReport('next', { service: 'stock', fresh: true }))
  assert.equal(findCandidateIds(directory), [])
  assert.equal(directory.findCandidates('stock').map(({ id }) => id), ['next'])
})

test('requests started after a report are added to its running count', () => {
  const directory = Directory.create({ clock: ManualClock.create() })
  directory.put(createListedTarget('one'))
  directory.recordReport('10.0.0.1', createReport('one', { running: 3 }))
  directory.recordRequestStart('one')
  directory.recordRequestStart('one')
  assert.is(directory.findCandidates('shop')[0]?.running, 5)
  directory.recordReport('10.0.0.1', createReport('one', { running: 5 }))
  assert.is(directory.findCandidates('shop')[0]?.running, 5)
})

test.run()
