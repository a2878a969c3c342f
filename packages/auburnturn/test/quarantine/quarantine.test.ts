import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Admission, computeFingerprint, done, ManualClock, mayHaveRun, Notices, notRun, Quarantine, Target } from '../../src/index.js'
import type { Call, Outcome } from '../../src/index.js'
import { createBody, createCall, createStatusRecorder } from '../fixtures/calls.js'

const quarantine = suite('quarantine')

const crashingCall = createCall({ path: '/kill' })

/** A target whose upstream crashes and loses every call in flight when `/kill` runs. */
function createTarget (clock: ManualClock, notices: Notices): { target: Target, quarantine: Quarantine, ran: string[] } {
  const ran: string[] = []
  const pending = new Set<(outcome: Outcome) => void>()
  const requestQuarantine = Quarantine.create({ clock, notices })
  const run = async (call: Call): Promise<Outcome> => {
    ran.push(call.path)
    return await new Promise<Outcome>(resolve => {
      pending.add(resolve)
      const action = call.path === '/kill'
        ? () => { for (const resolvePending of pending) resolvePending({ verdict: mayHaveRun('connection-lost') }) }
        : () => { resolve({ verdict: done, status: 200 }) }
      clock.after(call.path === '/kill' ? 5 : 20, () => {
        action()
        pending.clear()
      })
    })
  }
  const target = Target.create({ incarnation: 'first', clock, admission: Admission.create({ clock }), quarantine: requestQuarantine, run })
  return { target, quarantine: requestQuarantine, ran }
}

async function execute (clock: ManualClock, target: Target, ...calls: Call[]): Promise<Outcome[]> {
  const running = calls.map(async call => await target.execute({ ...call, deadline: clock.now() + 5_000 }, createBody(), createStatusRecorder()))
  await clock.advance(200)
  return await Promise.all(running)
}

quarantine('a request that crashes its upstream is refused after the configured number of crashes, and concurrent requests are served', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const { target, quarantine: requestQuarantine, ran } = createTarget(clock, notices)
  const concurrentCalls = ['/a', '/b', '/c'].map(path => createCall({ path }))
  await execute(clock, target, ...concurrentCalls, crashingCall)
  assert.is(notices.list().length, 4)
  const repeated = await execute(clock, target, ...concurrentCalls)
  assert.equal(repeated.map(({ verdict }) => verdict.kind), ['done', 'done', 'done'])
  for (const call of concurrentCalls) assert.is((await requestQuarantine.decideTreatment(call, createBody())).kind, 'usual')
  await execute(clock, target, crashingCall)
  const third = await execute(clock, target, crashingCall)
  assert.is(ran.filter(path => path === '/kill').length, 2)
  assert.equal(third[0]?.verdict, notRun('quarantined'))
  const nonIdempotent = await execute(clock, target, { ...crashingCall, idempotent: false })
  assert.equal(nonIdempotent[0]?.verdict, mayHaveRun('upstream-crashed'))
  await requestQuarantine.close()
})

quarantine('another node that received notices of the crashes also refuses the request until they expire', async () => {
  const clock = ManualClock.create()
  const senderNotices = Notices.create({ clock })
  const receiverNotices = Notices.create({ clock })
  const sender = createTarget(clock, senderNotices)
  await execute(clock, sender.target, createCall({ path: '/a' }), createCall({ path: '/b' }), crashingCall)
  await execute(clock, sender.target, crashingCall)
  const receiver = createTarget(clock, receiverNotices)
  for (const { kind, subject, expiresAt } of senderNotices.list()) receiverNotices.add(kind, subject, expiresAt - clock.now())
  const outcomes = await execute(clock, receiver.target, crashingCall)
  assert.equal(outcomes[0]?.verdict, notRun('quarantined'))
  assert.equal(receiver.ran, [])
  await clock.advance(crashingCall.profile.quarantine.expiryMs)
  assert.is((await receiver.quarantine.decideTreatment(crashingCall, createBody())).kind, 'usual')
  await sender.quarantine.close()
  await receiver.quarantine.close()
})

quarantine('a lost call followed by a refused connection proves a crash', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const requestQuarantine = Quarantine.create({ clock, notices })
  const outcomes: Outcome[] = [{ verdict: mayHaveRun('connection-lost') }, { verdict: notRun('connect-failed') }]
  const run = requestQuarantine.monitor(async () => outcomes.shift() as Outcome)
  await run(crashingCall, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await run(createCall(), createBody(), createStatusRecorder())
  assert.is(notices.list().length, 1)
  assert.is((await requestQuarantine.decideTreatment(crashingCall, createBody())).kind, 'alone')
  await requestQuarantine.close()
})

quarantine('single lost connections of an upstream that still responds create no suspects', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const requestQuarantine = Quarantine.create({ clock, notices })
  let count = 0
  const run = requestQuarantine.monitor(async () => ++count % 2 === 0 ? { verdict: done } : { verdict: mayHaveRun('connection-lost') })
  for (let call = 0; call < 40; call++) await run(crashingCall, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await requestQuarantine.close()
})

quarantine('connections lost one after another create no suspects', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const requestQuarantine = Quarantine.create({ clock, notices })
  const run = requestQuarantine.monitor(async () => ({ verdict: mayHaveRun('connection-lost') }))
  for (let call = 0; call < 10; call++) await run(crashingCall, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await requestQuarantine.close()
})

quarantine('a fingerprint distinguishes bodies and keys', async () => {
  const order = createCall({ method: 'POST', path: '/orders' })
  const fingerprint = async (text: string, headers: string[] = []): Promise<string | undefined> => await computeFingerprint({ ...order, headers }, createBody(text))
  assert.is(await fingerprint('one'), await fingerprint('one'))
  assert.is.not(await fingerprint('one'), await fingerprint('two'))
  assert.is(await fingerprint('one', ['Idempotency-Key', 'k']), await fingerprint('two', ['idempotency-key', 'k']))
  assert.is(await computeFingerprint(order, { ...createBody('long'), replayable: false }), undefined)
})

quarantine.run()
