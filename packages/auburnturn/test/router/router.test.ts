import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Admission, Directory, done, Logger, ManualClock, mayHaveRun, Notices, notRun, profileSchema, Random, RetryBudget, Router, Target } from '../../src/index.js'
import type { Attempt, Member, Outcome } from '../../src/index.js'
import { createBody, createCall, createStatusRecorder } from '../fixtures/calls.js'

const router = suite('router')

interface Fixture { readonly clock: ManualClock, readonly router: Router, readonly tried: string[], readonly close: () => Promise<void> }

function createRouter (send: (call: Parameters<Attempt>[0], count: number, answer: Parameters<Attempt>[3], clock: ManualClock) => Promise<Outcome>): Fixture {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock, logger: Logger.createSilent(), notices: Notices.create({ clock }), getMaxRemovalShare: () => 0 })
  const members = [0, 1, 2].map((index): Member => ({ id: `orders-${index}`, service: 'orders', region: 'kochi', failureDomain: 'a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }))
  directory.accept({ service: 'orders', version: 1, members })
  const tried: string[] = []
  const remote: Attempt = async (call, member, _body, answer) => {
    tried.push(member.id)
    return await send(call, tried.length, answer, clock)
  }
  return { clock, tried, router: Router.create({ clock, random: Random.create(1), directory, remote }), close: async () => { await directory.close() } }
}

const refused: Outcome = { verdict: notRun('overloaded') }
const lost: Outcome = { verdict: mayHaveRun('connection-lost') }

router('a call that was refused as not run is retried once at another target', async () => {
  const fixture = createRouter(async (_call, count) => count === 1 ? refused : { verdict: done })
  const outcome = await fixture.router.run(createCall({ idempotent: false }), createBody(), createStatusRecorder())
  assert.is(outcome.verdict.kind, 'done')
  assert.is(new Set(fixture.tried).size, 2)
  await fixture.close()
})

router('a non-idempotent call is not retried once it may have run', async () => {
  const fixture = createRouter(async () => lost)
  const outcome = await fixture.router.run(createCall({ idempotent: false }), createBody(), createStatusRecorder())
  assert.equal(outcome.verdict, lost.verdict)
  assert.is(fixture.tried.length, 1)
  await fixture.close()
})

router('in a chain of routers, only one retries a call', async () => {
  const depth = 10
  let attemptsAtEnd = 0
  const fixtures: Fixture[] = []
  for (let layer = 0; layer < depth; layer++) {
    const below = fixtures[layer - 1]
    fixtures.push(createRouter(async call => {
      if (below === undefined) {
        attemptsAtEnd++
        return refused
      }
      return await below.router.run({ ...call }, createBody(), createStatusRecorder())
    }))
  }
  const outcome = await (fixtures[depth - 1] as Fixture).router.run(createCall(), createBody(), createStatusRecorder())
  assert.is(attemptsAtEnd, 2)
  assert.is(outcome.retriesExhausted, true)
  for (const fixture of fixtures) await fixture.close()
})

router('a call that the caller has already retried is not retried', async () => {
  const fixture = createRouter(async () => refused)
  await fixture.router.run(createCall({ attempt: 1 }), createBody(), createStatusRecorder())
  assert.is(fixture.tried.length, 1)
  await fixture.close()
})

router('retries stay within their share of calls while all calls are refused', async () => {
  const fixture = createRouter(async () => refused)
  const calls = 1_000
  for (let call = 0; call < calls; call++) await fixture.router.run(createCall(), createBody(), createStatusRecorder())
  const retries = fixture.tried.length - calls
  assert.ok(retries <= calls * 0.1, `${retries} retries`)
  assert.ok(retries > calls * 0.09, `${retries} retries`)
  await fixture.close()
})

router('a node runs calls on its local target below the threshold, and sends them to another above it or when the local target fails', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock, logger: Logger.createSilent(), notices: Notices.create({ clock }), getMaxRemovalShare: () => 0 })
  const members = [0, 1].map((index): Member => ({ id: `orders-${index}`, service: 'orders', region: 'kochi', failureDomain: 'a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }))
  directory.accept({ service: 'orders', version: 1, members })
  const ran: string[] = []
  let localOutcome: Outcome = { verdict: done, status: 200 }
  const run = async (): Promise<Outcome> => {
    ran.push('here')
    await clock.sleep(10)
    return localOutcome
  }
  const remote: Attempt = async () => {
    ran.push('there')
    await clock.sleep(10)
    return { verdict: done, status: 200 }
  }
  const target = Target.create({ incarnation: 'first', clock, admission: Admission.create({ clock }), run })
  const localRouter = Router.create({ clock, random: Random.create(1), directory, remote, local: { id: 'orders-0', service: 'orders', target } })
  const profile = profileSchema.parse({ admission: { slots: 4, localBelow: 0.5 }, retry: { hedge: false } })
  const send = async (count: number): Promise<void> => {
    const calls = Array.from({ length: count }, async () => await localRouter.run(createCall({ profile, deadline: 1_000_000 }), createBody(), createStatusRecorder()))
    await clock.advance(50)
    await Promise.all(calls)
  }
  await send(1)
  assert.equal(ran.splice(0), ['here'])
  await send(6)
  assert.ok(ran.includes('there'))
  assert.ok(ran.splice(0).filter(place => place === 'here').length >= 2)
  localOutcome = { verdict: done, status: 503 }
  for (let call = 0; call < 30; call++) await send(1)
  assert.ok(ran.slice(-20).filter(place => place === 'here').length <= 1, ran.join(' '))
  await directory.close()
})

router('a budget accumulates a limited number of retries', () => {
  const budget = RetryBudget.create()
  for (let call = 0; call < 100_000; call++) budget.deposit(0.1)
  let taken = 0
  while (budget.tryWithdraw()) taken++
  assert.is(taken, 100)
})

router('an overdue call at a slow target is hedged and the losing attempt is cancelled', async () => {
  const idle = { running: 1, queued: 0, limit: 20, state: 'serving' as const }
  let slowId = ''
  let cancelled = 0
  const fixture = createRouter(async (call, count, answer, clock) => {
    const id = fixture.tried[count - 1] as string
    if (id !== slowId) {
      await clock.sleep(5)
      answer.writeHead(200, 'OK', [])
      return { verdict: done, status: 200, load: idle }
    }
    await clock.sleep(10_000, call.signal)
    cancelled++
    return { verdict: mayHaveRun('caller-gone') }
  })
  const profile = profileSchema.parse({ retry: { hedge: true } })
  for (let call = 0; call < 60; call++) {
    const answer = createStatusRecorder()
    const run = fixture.router.run(createCall({ profile, deadline: 100_000 }), createBody(), answer)
    await fixture.clock.advance(5)
    await run
    assert.equal(answer.statuses, [200])
  }
  slowId = fixture.tried.at(-1) as string
  const runs = [0, 1, 2, 3].map(async () => {
    const answer = createStatusRecorder()
    const outcome = await fixture.router.run(createCall({ profile, deadline: 100_000 }), createBody(), answer)
    return { outcome, heads: answer.statuses }
  })
  await fixture.clock.advance(500)
  const ended = await Promise.all(runs)
  assert.ok(cancelled > 0)
  for (const { outcome, heads } of ended) {
    assert.is(outcome.verdict.kind, 'done')
    assert.equal(heads, [200])
  }
  await fixture.close()
})

router.run()
