import fc from 'fast-check'
import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RateLimit } from '../src/core/rate-limit/index.js'
import type { Outcome } from '../src/core/requests/index.js'
import { LimitedTarget } from './fixtures/limited-target.js'

const test = suite('rate limit')

/** Length of the window in which a target counts the requests that it gets, in milliseconds. */
const windowMs = 4_000

/** Requests in `windowMs` at which a target that names `perSecond` is overrun. */
function countAllowed (perSecond: number): number {
  return 1.5 * perSecond * windowMs / 1_000 + 5
}

function describe (outcome: Outcome): string {
  return outcome.kind === 'not-run' ? outcome.cause : outcome.kind
}

/** Sends requests to a target at a steady rate; `onStep` runs every 10 ms. */
async function sendSteadily (target: LimitedTarget, clock: ManualClock, { perSecond, forMs, onStep = () => {} }: { perSecond: number, forMs: number, onStep?: (elapsedMs: number) => void }): Promise<string[]> {
  const outcomes: string[] = []
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 10) {
    onStep(elapsedMs)
    const due = Math.floor((elapsedMs + 10) * perSecond / 1_000) - Math.floor(elapsedMs * perSecond / 1_000)
    for (let count = 0; count < due; count++) target.send().then(outcome => { outcomes.push(describe(outcome)) }, assert.unreachable)
    await clock.advance(10)
  }
  await clock.advance(2_000)
  return outcomes
}

// Guards against requests above the limit that a target names (LIMIT, issue 26).
test('a target that names a limit gets no more than that from all nodes together, and nearly all of it', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '10.5')
  await sendSteadily(target, clock, { perSecond: 60, forMs: 12_000 })
  assert.ok(target.countMostWithin(windowMs) <= 10.5 * 4 + 1, String(target.countMostWithin(windowMs)))
  assert.ok(target.arrivedAt.length >= 10.5 * 12 * 0.95, String(target.arrivedAt.length))
})

// Guards against a node that forgets a limit and what it sent when its process restarts, is killed or was frozen (LIMIT, issue 26).
test('restarts and freezes of the node beside a target let no more through', async () => {
  for (const name of ['restart', 'freeze']) {
    const clock = ManualClock.create()
    const target = LimitedTarget.create(clock)
    target.demand('Server-Limit', '10')
    await sendSteadily(target, clock, {
      perSecond: 60,
      forMs: 10_000,
      onStep: elapsedMs => {
        if (elapsedMs < 4_000 || elapsedMs % 1_000 !== 0) return
        if (name === 'restart') target.restartNode()
        else if (elapsedMs % 3_000 === 0) clock.jump(2_000)
      }
    })
    assert.ok(target.countMostWithin(windowMs) <= countAllowed(10), `${name}: ${target.countMostWithin(windowMs)}`)
  }
})

test('a limit binds for as long as the target names it: the first answer without it ends it', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '5')
  target.demand()
  const outcomes = await sendSteadily(target, clock, { perSecond: 60, forMs: 2_000 })
  assert.is(outcomes.filter(outcome => outcome === 'answer').length, 120)
})

for (const value of ['', 'abc', '-3', 'NaN', 'Infinity', '1e3', '0x10', '5, 7', ' ', '12345678901234567890']) {
  test(`a limit of '${value}' is no number of requests and changes nothing, with or without a limit before`, async () => {
    const clock = ManualClock.create()
    const target = LimitedTarget.create(clock)
    target.demand('Server-Limit', value)
    assert.is(target.ownTarget.rateLimit.perSecond, Infinity)
    target.demand('Server-Limit', '5')
    target.demand('Server-Limit', value)
    assert.is(target.ownTarget.rateLimit.perSecond, 5)
  })
}

test('a target that takes no requests gets none, is refused at once, and is used again when it names no limit', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '0')
  const outcome = await target.send()
  assert.is(describe(outcome), 'rate-limited')
  assert.ok(outcome.kind === 'not-run' && Number.isFinite(outcome.retryAfterMs))
  target.demand()
  const served = target.send()
  await clock.advance(200)
  assert.is(describe(await served), 'answer')
})

test('a request that could go to another target is refused at once, others wait only if they meet their objective', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '4')
  assert.is(describe(await target.send({ mayWait: false })), 'rate-limited')
  const waiting = target.send()
  assert.is(describe(await target.send()), 'rate-limited')
  await clock.advance(400)
  assert.is(describe(await waiting), 'answer')
})

// Guards against requests that wait for a rate limit in vain, and learn only after their wait that others went first (issue 26).
test('a queued request that a more urgent one makes too late is refused at once', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '4')
  let passed: string | undefined
  target.send({ priority: 2 }).then(outcome => { passed = describe(outcome) }, assert.unreachable)
  await clock.advance(50)
  const urgent = target.send({ priority: 0 })
  await clock.advance(1)
  assert.is(passed, 'rate-limited')
  await clock.advance(400)
  assert.is(describe(await urgent), 'answer')
})

test('Retry-After of a refusal is when the limit lets the request through', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '2')
  const refused = await target.send({ objectiveAt: 10 })
  assert.ok(refused.kind === 'not-run' && refused.cause === 'rate-limited')
  assert.is(Math.round(refused.retryAfterMs), 500)
  await clock.advance(refused.retryAfterMs)
  const again = target.send({ mayWait: false })
  await clock.advance(200)
  assert.is(describe(await again), 'answer')
})

test('logs and metrics tell which limit bound, how long it has been named, and what it did with requests', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Limit', '4')
  await clock.advance(1_000)
  for (let count = 0; count < 4; count++) target.send().catch(assert.unreachable)
  await target.send({ mayWait: false })
  await target.send({ objectiveAt: clock.now() + 50 })
  assert.match(target.metrics.format(), 'rate_limited_total{effect="redirected"} 1')
  assert.match(target.metrics.format(), 'rate_limited_total{effect="refused"} 1')
  const line = target.logLines.find(text => text.includes('rate-limit-bound'))
  assert.match(line ?? '', /target.*i-1.*perSecond.*4.*ageMs.*1000.*redirected.*1/)
})

// Guards against requests to a target that has announced in an answer that it drains (DRAIN, issue 26).
test('a target that announces in an answer that it drains gets nothing more, also after a restart of its node', async () => {
  const clock = ManualClock.create()
  const target = LimitedTarget.create(clock)
  target.demand('Server-Leaving', '1')
  assert.is(target.ownTarget.describe().state, 'closing')
  target.restartNode()
  assert.is(describe(await target.send()), 'closed')
  // An answer that it made earlier may arrive later.
  target.demand()
  assert.is(describe(await target.send()), 'closed')
  assert.is(target.arrivedAt.length, 0)
})

for (const value of ['', '0', 'yes', '1, 1']) {
  test(`Server-Leaving: ${value} does not announce that a target drains`, () => {
    const target = LimitedTarget.create(ManualClock.create())
    target.demand('Server-Leaving', value)
    assert.is(target.ownTarget.describe().state, 'up')
  })
}

test('any sequence of limits and requests: in each window at most what the highest limit allows, and one second more', async () => {
  const steps = fc.array(fc.record({ ms: fc.integer({ min: 1, max: 900 }), limit: fc.option(fc.double({ min: 0, max: 50, noNaN: true }), { nil: undefined }), requests: fc.integer({ min: 0, max: 30 }) }), { maxLength: 60 })
  await fc.assert(fc.asyncProperty(steps, async sequence => {
    const clock = ManualClock.create()
    const limit = RateLimit.create({ clock })
    const sent: number[] = []
    let highest = 1
    limit.update(1)
    for (const { ms, limit: named, requests } of sequence) {
      clock.jump(ms)
      limit.update(named ?? 'unreadable')
      highest = Math.max(highest, limit.perSecond)
      for (let count = 0; count < requests && limit.allowance >= 1; count++) {
        limit.take()
        sent.push(clock.now())
      }
      assert.ok(sent.filter(at => at > clock.now() - windowMs).length <= highest * 5 + 1)
    }
  }), { seed: 26 })
})

test.run()
