import fc from 'fast-check'
import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Slots } from '../src/core/admission/index.js'
import type { AdmissionDecision, SlotRequest } from '../src/core/admission/index.js'

const test = suite('slots')

/** A request that is worth its full price for 600 ms and is waited for 2 s. */
function createApplicant (clock: ManualClock, changes: Partial<SlotRequest> = {}): SlotRequest {
  return { priority: 2, objectiveAt: clock.now() + 600, deadlineAt: clock.now() + 2_000, workMs: 100, mayWait: true, ...changes }
}

/** A target with `limit` slots, and the order in which requests start there. */
class Bench {
  readonly clock = ManualClock.create()
  readonly slots = Slots.create({ clock: this.clock })
  readonly started: string[] = []
  readonly refused: string[] = []

  constructor (limit: number) {
    this.setPace(limit, 1, 0)
  }

  setPace (limit: number, slowness: number, slowMs: number): void {
    this.slots.setCapacity(limit, { slowness, usualSlowness: 1, expectedSlowMs: slowMs })
  }

  /** Lets a request in that runs for its work once it has a slot. */
  send (name: string, changes: Partial<SlotRequest> = {}): Promise<AdmissionDecision> {
    const applicant = createApplicant(this.clock, changes)
    const { decision: admittance } = this.slots.acquire(applicant)
    return admittance.then(result => {
      if (result.kind === 'refused') {
        this.refused.push(name)
        return result
      }
      this.started.push(name)
      this.clock.after(applicant.workMs, () => { this.slots.release(applicant) })
      return result
    })
  }
}

test('burst: what is more urgent goes first, then what is quick, then what is due first', async () => {
  const bench = new Bench(1)
  bench.send('running')
  bench.send('page', { objectiveAt: 500 })
  bench.send('earlier page', { objectiveAt: 400 })
  bench.send('lookup', { workMs: 10 })
  bench.send('order', { priority: 1 })
  await bench.clock.advance(600)
  assert.equal(bench.started, ['running', 'order', 'lookup', 'earlier page', 'page'])
})

test('burst: what can still be answered in time goes before what is late already', async () => {
  const bench = new Bench(1)
  bench.send('running')
  bench.send('late', { objectiveAt: 50 })
  bench.send('timely', { objectiveAt: 600 })
  await bench.clock.advance(400)
  assert.equal(bench.started, ['running', 'timely', 'late'])
})

test('burst: what the queue leaves no time for is refused at once, with a time to come back', async () => {
  const bench = new Bench(1)
  const results = Array.from({ length: 30 }, (_, index) => bench.send(String(index), { workMs: 200 }))
  await bench.clock.advance(0)
  assert.ok(bench.refused.length > 0)
  const last = await results.at(-1)
  assert.ok(last?.kind === 'refused' && last.retryAfterMs >= 200)
})

test('a free slot takes a request, whatever its work is expected to be', async () => {
  const bench = new Bench(1)
  assert.is((await bench.send('long', { workMs: 5_000 })).kind, 'admitted')
})

test('a long queue: a request that has lost its worth is told so long before its end', async () => {
  const bench = new Bench(1)
  bench.send('running', { workMs: 10_000, deadlineAt: 20_000 })
  const waiting = bench.send('page')
  await bench.clock.advance(1_000)
  assert.is((await waiting).kind, 'refused')
})

test('overload: calls that running requests wait for get through, late rather than never', async () => {
  const bench = new Bench(1)
  for (let count = 0; count < 40; count++) bench.send('page', { workMs: 500, objectiveAt: 10_000, deadlineAt: 60_000 })
  const lookup = bench.send('lookup', { workMs: 50, objectiveAt: 150, deadlineAt: 600 })
  await bench.clock.advance(600)
  assert.is((await lookup).kind, 'admitted')
})

test('a target that turns slow for moments: work waits for its usual speed', async () => {
  const bench = new Bench(2)
  bench.setPace(2, 4, 150)
  bench.send('page')
  bench.send('lookup', { workMs: 10 })
  await bench.clock.advance(100)
  assert.equal(bench.started, ['lookup'])
  bench.setPace(2, 1, 0)
  await bench.clock.advance(0)
  assert.equal(bench.started, ['lookup', 'page'])
})

test('a target that stays slow: work starts all the same', async () => {
  const bench = new Bench(2)
  bench.setPace(2, 4, 2_000)
  bench.send('page')
  await bench.clock.advance(0)
  assert.equal(bench.started, ['page'])
})

test('a target that turns slow refuses what may go elsewhere', async () => {
  const bench = new Bench(2)
  bench.setPace(2, 4, 150)
  const result = await bench.send('page', { mayWait: false })
  assert.is(result.kind === 'refused' ? result.cause : result.kind, 'slow')
})

test('leaving: who waits is refused, and what runs goes on', async () => {
  const bench = new Bench(1)
  bench.send('running')
  const waiting = bench.send('waiting')
  bench.slots.close()
  assert.equal((await waiting).kind, 'refused')
  assert.is(bench.slots.running, 1)
})

test('a caller that leaves the queue never runs', async () => {
  const bench = new Bench(1)
  bench.send('running')
  const application = bench.slots.acquire(createApplicant(bench.clock))
  application.cancel()
  assert.equal(await application.decision.then(({ kind }) => kind), 'refused')
  await bench.clock.advance(1_000)
  assert.is(bench.slots.running, 0)
})

const event = fc.oneof(
  fc.record({ kind: fc.constant('arrive' as const), priority: fc.integer({ min: 0, max: 3 }), workMs: fc.integer({ min: 1, max: 400 }), waitMs: fc.integer({ min: 1, max: 3_000 }) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 500 }) }),
  fc.record({ kind: fc.constant('resize' as const), limit: fc.integer({ min: 1, max: 6 }), slowness: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ kind: fc.constant('pause' as const) })
)

test('any order of events: never more than the slots, every request decided once, none after its end', async () => {
  await fc.assert(fc.asyncProperty(fc.array(event, { maxLength: 60 }), async events => {
    const bench = new Bench(3)
    let arrived = 0
    let limit = 3
    for (const one of events) {
      switch (one.kind) {
        case 'arrive': {
          const endsAt = bench.clock.now() + one.waitMs
          const before = bench.slots.running
          bench.send(String(arrived++), { priority: one.priority, workMs: one.workMs, objectiveAt: bench.clock.now() + one.waitMs / 3, deadlineAt: endsAt }).then(result => {
            if (result.kind === 'admitted') assert.ok(bench.clock.now() <= endsAt)
          }).catch(error => { throw error })
          assert.ok(bench.slots.running <= Math.max(limit, before))
          break
        }
        case 'pass': await bench.clock.advance(one.ms); break
        case 'resize': limit = one.limit; bench.setPace(one.limit, one.slowness, 100); break
        case 'pause': bench.slots.refuseWaiting()
      }
    }
    bench.setPace(3, 1, 0)
    await bench.clock.advance(10_000)
    assert.is(bench.started.length + bench.refused.length, arrived)
    assert.is(bench.slots.running, 0)
    assert.is(bench.slots.waiting, 0)
  }), { numRuns: 60, seed: 11 })
})

test.run()
