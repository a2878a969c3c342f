import fc from 'fast-check'
import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Slots } from '../src/core/admission/index.js'
import type { AdmissionDecision, SlotRequest } from '../src/core/admission/index.js'

const test = suite('slots')

/** A request with an objective of 600 ms and a deadline of 2 s. */
function createRequest (clock: ManualClock, changes: Partial<SlotRequest> = {}): SlotRequest {
  return { priority: 2, objectiveAt: clock.now() + 600, deadlineAt: clock.now() + 2_000, workMs: 100, mayWait: true, ...changes }
}

/** The slots of a target, with the names of the requests that started and were refused, in order. */
class Harness {
  readonly clock = ManualClock.create()
  readonly slots = Slots.create({ clock: this.clock })
  readonly started: string[] = []
  readonly refused: string[] = []

  constructor (limit: number) {
    this.setCapacity(limit, 1, 0)
  }

  setCapacity (limit: number, slowness: number, expectedSlowMs: number): void {
    this.slots.setCapacity(limit, { slowness, usualSlowness: 1, expectedSlowMs })
  }

  /** Sends a request, which runs for the duration of its work once it has a slot. */
  send (name: string, changes: Partial<SlotRequest> = {}): Promise<AdmissionDecision> {
    const request = createRequest(this.clock, changes)
    const { decision } = this.slots.acquire(request)
    return decision.then(result => {
      if (result.kind === 'refused') {
        this.refused.push(name)
        return result
      }
      this.started.push(name)
      this.clock.after(request.workMs, () => { this.slots.release(request) })
      return result
    })
  }
}

test('burst: more urgent requests run first, then short ones, then those with the earlier objective', async () => {
  const harness = new Harness(1)
  harness.send('running')
  harness.send('page', { objectiveAt: 500 })
  harness.send('earlier page', { objectiveAt: 400 })
  harness.send('lookup', { workMs: 10 })
  harness.send('order', { priority: 1 })
  await harness.clock.advance(600)
  assert.equal(harness.started, ['running', 'order', 'lookup', 'earlier page', 'page'])
})

test('burst: a request that can no longer meet its objective is refused at once while others wait, so that its caller can try again', async () => {
  const harness = new Harness(1)
  harness.send('running')
  harness.send('in time', { objectiveAt: 600 })
  harness.send('overdue', { objectiveAt: 50 })
  await harness.clock.advance(0)
  assert.equal(harness.refused, ['overdue'])
  await harness.clock.advance(400)
  assert.equal(harness.started, ['running', 'in time'])
})

test('burst: a queued request is refused when it can no longer meet its objective, not later', async () => {
  const harness = new Harness(1)
  harness.send('running', { workMs: 800 })
  harness.send('queued', { objectiveAt: 1_050, workMs: 500 })
  await harness.clock.advance(540)
  assert.equal(harness.refused, [])
  await harness.clock.advance(30)
  assert.equal(harness.refused, ['queued'])
})

test('a refused caller is asked to come back no sooner than a place can be free, at any length of work', async () => {
  for (const workMs of [20, 200, 20_000]) {
    const harness = new Harness(2)
    const changes = { workMs, objectiveAt: workMs * 3, deadlineAt: workMs * 10 }
    const results = Array.from({ length: 40 }, async () => await harness.send('request', changes))
    const last = await results.at(-1)
    assert.ok(last?.kind === 'refused' && last.retryAfterMs >= workMs && last.retryAfterMs <= workMs * 20, JSON.stringify(last))
  }
})

test('burst: requests that would wait too long in the queue are refused immediately, with a retry delay', async () => {
  const harness = new Harness(1)
  const results = Array.from({ length: 30 }, (_, index) => harness.send(String(index), { workMs: 200 }))
  await harness.clock.advance(0)
  assert.ok(harness.refused.length > 0)
  const last = await results.at(-1)
  assert.ok(last?.kind === 'refused' && last.retryAfterMs >= 200)
})

test('a free slot admits a request regardless of its expected work', async () => {
  const harness = new Harness(1)
  assert.is((await harness.send('long', { workMs: 5_000 })).kind, 'admitted')
})

test('long queue: a request that has missed its objective is refused long before its deadline', async () => {
  const harness = new Harness(1)
  harness.send('running', { workMs: 10_000, deadlineAt: 20_000 })
  const waiting = harness.send('page')
  await harness.clock.advance(1_000)
  assert.is((await waiting).kind, 'refused')
})

test('overload: short calls that running requests wait for are admitted, even after their objective', async () => {
  const harness = new Harness(1)
  for (let count = 0; count < 40; count++) harness.send('page', { workMs: 500, objectiveAt: 10_000, deadlineAt: 60_000 })
  const lookup = harness.send('lookup', { workMs: 50, objectiveAt: 150, deadlineAt: 600 })
  await harness.clock.advance(600)
  assert.is((await lookup).kind, 'admitted')
})

test('a target that is slow for a short time: work is held back until it works at its usual speed', async () => {
  const harness = new Harness(2)
  harness.setCapacity(2, 4, 150)
  harness.send('page')
  harness.send('lookup', { workMs: 10 })
  await harness.clock.advance(100)
  assert.equal(harness.started, ['lookup'])
  harness.setCapacity(2, 1, 0)
  await harness.clock.advance(0)
  assert.equal(harness.started, ['lookup', 'page'])
})

test('a target that stays slow: work starts without waiting', async () => {
  const harness = new Harness(2)
  harness.setCapacity(2, 4, 2_000)
  harness.send('page')
  await harness.clock.advance(0)
  assert.equal(harness.started, ['page'])
})

test('a slow target refuses requests that may go to another target', async () => {
  const harness = new Harness(2)
  harness.setCapacity(2, 4, 150)
  const result = await harness.send('page', { mayWait: false })
  assert.is(result.kind === 'refused' ? result.cause : result.kind, 'slow')
})

test('closing: queued requests are refused, and running ones continue', async () => {
  const harness = new Harness(1)
  harness.send('running')
  const waiting = harness.send('waiting')
  harness.slots.close()
  assert.equal((await waiting).kind, 'refused')
  assert.is(harness.slots.running, 1)
})

test('a request that is cancelled in the queue never runs', async () => {
  const harness = new Harness(1)
  harness.send('running')
  const acquisition = harness.slots.acquire(createRequest(harness.clock))
  acquisition.cancel()
  assert.equal(await acquisition.decision.then(({ kind }) => kind), 'refused')
  await harness.clock.advance(1_000)
  assert.is(harness.slots.running, 0)
})

const events = fc.oneof(
  fc.record({ kind: fc.constant('arrive' as const), priority: fc.integer({ min: 0, max: 3 }), workMs: fc.integer({ min: 1, max: 400 }), waitMs: fc.integer({ min: 1, max: 3_000 }) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 500 }) }),
  fc.record({ kind: fc.constant('resize' as const), limit: fc.integer({ min: 1, max: 6 }), slowness: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ kind: fc.constant('pause' as const) })
)

test('any order of events: running requests stay within the slots, each request is decided once, and none is admitted after its deadline', async () => {
  await fc.assert(fc.asyncProperty(fc.array(events, { maxLength: 60 }), async events => {
    const harness = new Harness(3)
    let arrivedCount = 0
    let limit = 3
    for (const event of events) {
      switch (event.kind) {
        case 'arrive': {
          const deadlineAt = harness.clock.now() + event.waitMs
          const before = harness.slots.running
          harness.send(String(arrivedCount++), { priority: event.priority, workMs: event.workMs, objectiveAt: harness.clock.now() + event.waitMs / 3, deadlineAt }).then(result => {
            if (result.kind === 'admitted') assert.ok(harness.clock.now() <= deadlineAt)
          }).catch(error => { throw error })
          assert.ok(harness.slots.running <= Math.max(limit, before))
          break
        }
        case 'pass': await harness.clock.advance(event.ms); break
        case 'resize': limit = event.limit; harness.setCapacity(event.limit, event.slowness, 100); break
        case 'pause': harness.slots.refuseQueued('expired')
      }
    }
    harness.setCapacity(3, 1, 0)
    await harness.clock.advance(10_000)
    assert.is(harness.started.length + harness.refused.length, arrivedCount)
    assert.is(harness.slots.running, 0)
    assert.is(harness.slots.waiting, 0)
  }), { numRuns: 60, seed: 11 })
})

// These guard against a suspect that runs beside others, and against suspects that keep all others from the target (issue 32).
test('a request that runs alone waits for those that run, keeps the others back, and gives them the same time after it', async () => {
  const harness = new Harness(4)
  harness.send('before', { workMs: 100 })
  const order: string[] = []
  const sendAlone = (name: string): void => {
    const request = createRequest(harness.clock, { workMs: 50 })
    harness.slots.acquireAlone(request).decision.then(({ kind }) => {
      order.push(`${name} ${kind} at ${harness.clock.now()} beside ${harness.slots.running - 1}`)
      if (kind === 'admitted') harness.clock.after(50, () => { harness.slots.release(request) })
    }, () => {})
  }
  sendAlone('first')
  sendAlone('second')
  harness.send('later', { workMs: 20 })
  assert.is(harness.slots.taken, 4)
  await harness.clock.advance(149)
  assert.equal([order, harness.started], [['first admitted at 100 beside 0'], ['before']])
  await harness.clock.advance(350)
  assert.equal(harness.started, ['before', 'later'])
  assert.equal(order[1], 'second admitted at 300 beside 0')
})

test('a request that runs alone is refused when those that run do not end soon, and the others go on', async () => {
  const harness = new Harness(2)
  harness.send('long', { workMs: 1_500 })
  const kinds: string[] = []
  harness.slots.acquireAlone(createRequest(harness.clock)).decision.then(({ kind }) => { kinds.push(kind) }, () => {})
  harness.send('other', { workMs: 10 })
  await harness.clock.advance(400)
  assert.equal([kinds, harness.started], [['refused'], ['long', 'other']])
})

test.run()
