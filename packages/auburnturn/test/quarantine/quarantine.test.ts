import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Admission, done, fingerprintOf, ManualClock, mayHaveRun, Notices, notRun, Quarantine, Target } from '../../src/index.js'
import type { Call, Outcome } from '../../src/index.js'
import { createStatusRecorder, createBody, createCall } from '../fixtures/calls.js'

const quarantine = suite('quarantine')

const killer = createCall({ path: '/kill' })

/** A target whose upstream dies with everything in flight when `/kill` runs. */
function createTarget (clock: ManualClock, notices: Notices): { target: Target, quarantine: Quarantine, ran: string[] } {
  const ran: string[] = []
  const pending = new Set<(outcome: Outcome) => void>()
  const guard = Quarantine.create({ clock, notices })
  const run = async (call: Call): Promise<Outcome> => {
    ran.push(call.path)
    return await new Promise<Outcome>(resolve => {
      pending.add(resolve)
      const action = call.path === '/kill'
        ? () => { for (const one of pending) one({ verdict: mayHaveRun('connection-lost') }) }
        : () => { resolve({ verdict: done, status: 200 }) }
      clock.after(call.path === '/kill' ? 5 : 20, () => {
        action()
        pending.clear()
      })
    })
  }
  const target = Target.create({ incarnation: 'first', clock, admission: Admission.create({ clock }), quarantine: guard, run })
  return { target, quarantine: guard, ran }
}

async function execute (clock: ManualClock, target: Target, ...calls: Call[]): Promise<Outcome[]> {
  const running = calls.map(async call => await target.execute({ ...call, deadline: clock.now() + 5_000 }, createBody(), createStatusRecorder()))
  await clock.advance(200)
  return await Promise.all(running)
}

quarantine('a request that crashes its upstream is refused after the count, and bystanders are served', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const { target, quarantine: guard, ran } = createTarget(clock, notices)
  const bystanders = ['/a', '/b', '/c'].map(path => createCall({ path }))
  await execute(clock, target, ...bystanders, killer)
  assert.is(notices.list().length, 4)
  const again = await execute(clock, target, ...bystanders)
  assert.equal(again.map(({ verdict }) => verdict.kind), ['done', 'done', 'done'])
  for (const call of bystanders) assert.is((await guard.judge(call, createBody())).kind, 'usual')
  await execute(clock, target, killer)
  const third = await execute(clock, target, killer)
  assert.is(ran.filter(path => path === '/kill').length, 2)
  assert.equal(third[0]?.verdict, notRun('quarantined'))
  const order = await execute(clock, target, { ...killer, idempotent: false })
  assert.equal(order[0]?.verdict, mayHaveRun('upstream-crashed'))
  await guard.close()
})

quarantine('another node that hears of the crashes refuses too, until the notice expires', async () => {
  const clock = ManualClock.create()
  const here = Notices.create({ clock })
  const there = Notices.create({ clock })
  const one = createTarget(clock, here)
  await execute(clock, one.target, createCall({ path: '/a' }), createCall({ path: '/b' }), killer)
  await execute(clock, one.target, killer)
  const other = createTarget(clock, there)
  for (const { kind, subject, expiresAt } of here.list()) there.add(kind, subject, expiresAt - clock.now())
  const outcomes = await execute(clock, other.target, killer)
  assert.equal(outcomes[0]?.verdict, notRun('quarantined'))
  assert.equal(other.ran, [])
  await clock.advance(killer.profile.quarantine.expiryMs)
  assert.is((await other.quarantine.judge(killer, createBody())).kind, 'usual')
  await one.quarantine.close()
  await other.quarantine.close()
})

quarantine('one lost call and a refused connection after it are a crash', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const guard = Quarantine.create({ clock, notices })
  const outcomes: Outcome[] = [{ verdict: mayHaveRun('connection-lost') }, { verdict: notRun('connect-failed') }]
  const run = guard.watch(async () => outcomes.shift() as Outcome)
  await run(killer, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await run(createCall(), createBody(), createStatusRecorder())
  assert.is(notices.list().length, 1)
  assert.is((await guard.judge(killer, createBody())).kind, 'alone')
  await guard.close()
})

quarantine('single lost connections of an upstream that answers accuse nobody', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const guard = Quarantine.create({ clock, notices })
  let count = 0
  const run = guard.watch(async () => ++count % 2 === 0 ? { verdict: done } : { verdict: mayHaveRun('connection-lost') })
  for (let call = 0; call < 40; call++) await run(killer, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await guard.close()
})

quarantine('connections lost one after another accuse nobody', async () => {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const guard = Quarantine.create({ clock, notices })
  const run = guard.watch(async () => ({ verdict: mayHaveRun('connection-lost') }))
  for (let call = 0; call < 10; call++) await run(killer, createBody(), createStatusRecorder())
  assert.equal(notices.list(), [])
  await guard.close()
})

quarantine('a fingerprint tells bodies and keys apart', async () => {
  const order = createCall({ method: 'POST', path: '/orders' })
  const print = async (text: string, headers: string[] = []): Promise<string | undefined> => await fingerprintOf({ ...order, headers }, createBody(text))
  assert.is(await print('one'), await print('one'))
  assert.is.not(await print('one'), await print('two'))
  assert.is(await print('one', ['Idempotency-Key', 'k']), await print('two', ['idempotency-key', 'k']))
  assert.is(await fingerprintOf(order, { ...createBody('long'), replayable: false }), undefined)
})

quarantine.run()
