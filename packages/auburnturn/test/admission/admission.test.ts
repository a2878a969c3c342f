import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Admission, done, Limiter, ManualClock, profileSchema } from '../../src/index.js'
import type { AdmissionResult } from '../../src/index.js'
import { createCall } from '../fixtures/calls.js'

const admission = suite('admission')

const narrow = profileSchema.parse({ admission: { slots: 1, queue: 2 } })
const critical = profileSchema.parse({ class: 'critical', admission: { slots: 1, queue: 2 } })
const browse = profileSchema.parse({ class: 'browse', admission: { slots: 1, queue: 2 } })

function release (admittance: AdmissionResult, latencyMs = 10): void {
  if (admittance.kind !== 'admitted') throw new Error(`refused: ${admittance.cause}`)
  admittance.release(done, latencyMs)
}

admission('a full queue refuses as overloaded before the call runs', async () => {
  const gate = Admission.create({ clock: ManualClock.create() })
  const held = await gate.admit(createCall({ profile: narrow }))
  const waiting = [gate.admit(createCall({ profile: narrow })), gate.admit(createCall({ profile: narrow }))]
  assert.equal(await gate.admit(createCall({ profile: narrow })), { kind: 'refused', cause: 'overloaded' })
  assert.equal(gate.load, { running: 1, queued: 2, limit: 1, state: 'serving' })
  release(held)
  release(await waiting[0] as AdmissionResult)
  release(await waiting[1] as AdmissionResult)
  assert.is(gate.load.running, 0)
})

admission('a critical call takes the place of a browsing one and runs first', async () => {
  const gate = Admission.create({ clock: ManualClock.create() })
  const held = await gate.admit(createCall({ profile: narrow }))
  const browsing = gate.admit(createCall({ profile: browse, caller: 'one' }))
  const internal = gate.admit(createCall({ profile: narrow, caller: 'two' }))
  const order = gate.admit(createCall({ profile: critical, caller: 'three' }))
  assert.equal(await browsing, { kind: 'refused', cause: 'overloaded' })
  release(held)
  release(await order)
  release(await internal)
})

admission('a caller that floods the queue gives way to one that does not', async () => {
  const gate = Admission.create({ clock: ManualClock.create() })
  const profile = profileSchema.parse({ admission: { slots: 2, queue: 2 } })
  const held = [await gate.admit(createCall({ profile, caller: 'noisy' })), await gate.admit(createCall({ profile, caller: 'noisy' }))]
  const flood = [0, 1].map(async () => await gate.admit(createCall({ profile, caller: 'noisy' })))
  const quiet = gate.admit(createCall({ profile, caller: 'quiet' }))
  assert.equal(await Promise.race(flood), { kind: 'refused', cause: 'overloaded' })
  release(held[0] as AdmissionResult)
  release(await quiet)
  assert.is(gate.load.running, 2)
})

admission('the earliest deadline of one caller goes first', async () => {
  const gate = Admission.create({ clock: ManualClock.create() })
  const held = await gate.admit(createCall({ profile: narrow }))
  const order: string[] = []
  const run = async (name: string, deadline: number): Promise<void> => {
    const admittance = await gate.admit(createCall({ profile: narrow, deadline }))
    order.push(name)
    release(admittance)
  }
  const both = [run('late', 400), run('early', 200)]
  release(held)
  await Promise.all(both)
  assert.equal(order, ['early', 'late'])
})

admission('a call that cannot finish before its deadline is shed', async () => {
  const clock = ManualClock.create()
  const gate = Admission.create({ clock })
  for (let count = 0; count < 20; count++) release(await gate.admit(createCall()), 1_000)
  assert.equal(await gate.admit(createCall({ deadline: 300 })), { kind: 'refused', cause: 'deadline-expired' })
  release(await gate.admit(createCall({ deadline: 2_000 })))
})

admission('a waiting call leaves the queue when its time or its caller is gone', async () => {
  const clock = ManualClock.create()
  const gate = Admission.create({ clock })
  const caller = new AbortController()
  const held = await gate.admit(createCall({ profile: narrow }))
  const late = gate.admit(createCall({ profile: narrow }))
  const gone = gate.admit(createCall({ profile: narrow, signal: caller.signal }))
  caller.abort()
  await clock.advance(600)
  assert.equal(await gone, { kind: 'refused', cause: 'caller-gone' })
  assert.equal(await late, { kind: 'refused', cause: 'queue-timeout' })
  assert.is(gate.load.queued, 0)
  release(held)
})

admission('draining refuses what waits and what comes, and open takes work again', async () => {
  const gate = Admission.create({ clock: ManualClock.create(), state: 'starting' })
  assert.equal(await gate.admit(createCall()), { kind: 'refused', cause: 'admission-closed' })
  gate.open()
  const held = await gate.admit(createCall({ profile: narrow }))
  const waiting = gate.admit(createCall({ profile: narrow }))
  gate.drain()
  assert.equal(await waiting, { kind: 'refused', cause: 'admission-closed' })
  assert.equal(await gate.admit(createCall()), { kind: 'refused', cause: 'admission-closed' })
  release(held)
})

admission('a suspect runs while nothing else does', async () => {
  const gate = Admission.create({ clock: ManualClock.create() })
  const held = await gate.admit(createCall())
  const suspect = gate.admitAlone(createCall())
  assert.equal(await gate.admit(createCall()), { kind: 'refused', cause: 'overloaded' })
  assert.is(gate.isBelowShare(1), false)
  release(held)
  const alone = await suspect
  assert.equal(await gate.admit(createCall()), { kind: 'refused', cause: 'overloaded' })
  release(alone)
  release(await gate.admit(createCall()))
})

admission('a late wake-up drops waiting calls whose deadline has passed', async () => {
  const clock = ManualClock.create()
  const gate = Admission.create({ clock })
  const held = await gate.admit(createCall({ profile: narrow }))
  const waiting = gate.admit(createCall({ profile: narrow }))
  clock.jump(10_000)
  gate.refuseExpired()
  assert.equal(await waiting, { kind: 'refused', cause: 'deadline-expired' })
  release(held)
})

admission('the limit falls while full slots answer slowly, not below half, and comes back', () => {
  const limiter = Limiter.create(20)
  for (let count = 0; count < 200; count++) limiter.record(10, true)
  assert.is(limiter.limit, 20)
  for (let count = 0; count < 200; count++) limiter.record(100, true)
  assert.is(limiter.limit, 10)
  for (let count = 0; count < 400; count++) limiter.record(10, false)
  assert.is(limiter.limit, 20)
})

admission.run()
