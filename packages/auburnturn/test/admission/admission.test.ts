import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Admission, done, Limiter, ManualClock, profileSchema } from '../../src/index.js'
import type { AdmissionDecision } from '../../src/index.js'
import { createCall } from '../fixtures/calls.js'

const admission = suite('admission')

const oneSlot = profileSchema.parse({ admission: { slots: 1, queue: 2 } })
const critical = profileSchema.parse({ class: 'critical', admission: { slots: 1, queue: 2 } })
const browse = profileSchema.parse({ class: 'browse', admission: { slots: 1, queue: 2 } })

function release (result: AdmissionDecision, latencyMs = 10): void {
  if (result.kind !== 'admitted') throw new Error(`refused: ${result.cause}`)
  result.release(done, latencyMs)
}

admission('a call that finds the queue full is refused as overloaded without running', async () => {
  const controller = Admission.create({ clock: ManualClock.create() })
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const waiting = [controller.admit(createCall({ profile: oneSlot })), controller.admit(createCall({ profile: oneSlot }))]
  assert.equal(await controller.admit(createCall({ profile: oneSlot })), { kind: 'refused', cause: 'overloaded' })
  assert.equal(controller.load, { running: 1, queued: 2, limit: 1, state: 'serving' })
  release(held)
  release(await waiting[0] as AdmissionDecision)
  release(await waiting[1] as AdmissionDecision)
  assert.is(controller.load.running, 0)
})

admission('a critical call evicts a browse call from the full queue and runs first', async () => {
  const controller = Admission.create({ clock: ManualClock.create() })
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const browsing = controller.admit(createCall({ profile: browse, caller: 'one' }))
  const internal = controller.admit(createCall({ profile: oneSlot, caller: 'two' }))
  const urgent = controller.admit(createCall({ profile: critical, caller: 'three' }))
  assert.equal(await browsing, { kind: 'refused', cause: 'overloaded' })
  release(held)
  release(await urgent)
  release(await internal)
})

admission('a call of the caller with the most queued calls is evicted for a call of another caller', async () => {
  const controller = Admission.create({ clock: ManualClock.create() })
  const profile = profileSchema.parse({ admission: { slots: 2, queue: 2 } })
  const held = [await controller.admit(createCall({ profile, caller: 'noisy' })), await controller.admit(createCall({ profile, caller: 'noisy' }))]
  const queued = [0, 1].map(async () => await controller.admit(createCall({ profile, caller: 'noisy' })))
  const other = controller.admit(createCall({ profile, caller: 'quiet' }))
  assert.equal(await Promise.race(queued), { kind: 'refused', cause: 'overloaded' })
  release(held[0] as AdmissionDecision)
  release(await other)
  assert.is(controller.load.running, 2)
})

admission('of the queued calls of one caller, the one with the earliest deadline runs first', async () => {
  const controller = Admission.create({ clock: ManualClock.create() })
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const order: string[] = []
  const run = async (name: string, deadline: number): Promise<void> => {
    const result = await controller.admit(createCall({ profile: oneSlot, deadline }))
    order.push(name)
    release(result)
  }
  const calls = [run('late', 400), run('early', 200)]
  release(held)
  await Promise.all(calls)
  assert.equal(order, ['early', 'late'])
})

admission('a call that cannot finish before its deadline is refused', async () => {
  const clock = ManualClock.create()
  const controller = Admission.create({ clock })
  for (let count = 0; count < 20; count++) release(await controller.admit(createCall()), 1_000)
  assert.equal(await controller.admit(createCall({ deadline: 300 })), { kind: 'refused', cause: 'deadline-expired' })
  release(await controller.admit(createCall({ deadline: 2_000 })))
})

admission('a queued call is removed when its queue timeout expires or its caller disconnects', async () => {
  const clock = ManualClock.create()
  const controller = Admission.create({ clock })
  const caller = new AbortController()
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const expired = controller.admit(createCall({ profile: oneSlot }))
  const abandoned = controller.admit(createCall({ profile: oneSlot, signal: caller.signal }))
  caller.abort()
  await clock.advance(600)
  assert.equal(await abandoned, { kind: 'refused', cause: 'caller-gone' })
  assert.equal(await expired, { kind: 'refused', cause: 'queue-timeout' })
  assert.is(controller.load.queued, 0)
  release(held)
})

admission('draining refuses queued and new calls, and opening accepts calls', async () => {
  const controller = Admission.create({ clock: ManualClock.create(), state: 'starting' })
  assert.equal(await controller.admit(createCall()), { kind: 'refused', cause: 'admission-closed' })
  controller.open()
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const waiting = controller.admit(createCall({ profile: oneSlot }))
  controller.drain()
  assert.equal(await waiting, { kind: 'refused', cause: 'admission-closed' })
  assert.equal(await controller.admit(createCall()), { kind: 'refused', cause: 'admission-closed' })
  release(held)
})

admission('a suspect runs while no other call does', async () => {
  const controller = Admission.create({ clock: ManualClock.create() })
  const held = await controller.admit(createCall())
  const suspect = controller.admitAlone(createCall())
  assert.equal(await controller.admit(createCall()), { kind: 'refused', cause: 'overloaded' })
  assert.is(controller.isLoadBelow(1), false)
  release(held)
  const alone = await suspect
  assert.equal(await controller.admit(createCall()), { kind: 'refused', cause: 'overloaded' })
  release(alone)
  release(await controller.admit(createCall()))
})

admission('refuseExpired refuses queued calls whose deadline passed during a pause', async () => {
  const clock = ManualClock.create()
  const controller = Admission.create({ clock })
  const held = await controller.admit(createCall({ profile: oneSlot }))
  const waiting = controller.admit(createCall({ profile: oneSlot }))
  clock.jump(10_000)
  controller.refuseExpired()
  assert.equal(await waiting, { kind: 'refused', cause: 'deadline-expired' })
  release(held)
})

admission('the limit falls while all slots are busy and slow, not below half of the slots, and recovers', () => {
  const limiter = Limiter.create(20)
  for (let count = 0; count < 200; count++) limiter.record(10, true)
  assert.is(limiter.limit, 20)
  for (let count = 0; count < 200; count++) limiter.record(100, true)
  assert.is(limiter.limit, 10)
  for (let count = 0; count < 400; count++) limiter.record(10, false)
  assert.is(limiter.limit, 20)
})

admission.run()
