import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Balancer, Directory, Logger, ManualClock, MeasuringBudget, Notices, probeBytes, Prober, Random } from '../../src/index.js'
import type { MeasuringLimits, Member } from '../../src/index.js'

const measuring = suite('measuring')

const limits: MeasuringLimits = { messagesPerSecond: 5, bytesPerSecond: 1_500, coreShare: 0.001 }

function createBudget (clock: ManualClock, changes: Partial<MeasuringLimits> = {}): MeasuringBudget {
  return MeasuringBudget.create({ clock, random: Random.create(1), limits: () => ({ ...limits, ...changes }) })
}

/** The times at which the budget allows a message when one is requested every millisecond. */
async function collectSendTimes (clock: ManualClock, budget: MeasuringBudget, milliseconds: number): Promise<number[]> {
  const times: number[] = []
  for (let tick = 0; tick < milliseconds; tick++) {
    if (budget.tryConsume(probeBytes)) times.push(clock.now())
    await clock.advance(1)
  }
  return times
}

function countMaxPerSecond (times: readonly number[]): number {
  return Math.max(...times.map(start => times.filter(time => time >= start && time < start + 1_000).length))
}

measuring('no period of one second exceeds the budget, also after a pause', async () => {
  const clock = ManualClock.create()
  const budget = createBudget(clock)
  const before = await collectSendTimes(clock, budget, 3_000)
  clock.jump(60_000)
  const after = await collectSendTimes(clock, budget, 2_000)
  assert.is(countMaxPerSecond([...before, ...after]), 5)
  assert.is(budget.cost.bytes, budget.cost.messages * probeBytes)
})

measuring('each of the three limits applies independently', async () => {
  for (const [changes, expected] of [[{ bytesPerSecond: 700 }, 2], [{ coreShare: 0.0006 }, 3], [{ messagesPerSecond: 1 }, 1]] as const) {
    const clock = ManualClock.create()
    assert.is(countMaxPerSecond(await collectSendTimes(clock, createBudget(clock, changes), 3_000)), expected)
  }
})

measuring('no message is allowed when any limit is 0', async () => {
  for (const changes of [{ messagesPerSecond: 0 }, { bytesPerSecond: 0 }, { coreShare: 0 }]) {
    const clock = ManualClock.create()
    assert.equal(await collectSendTimes(clock, createBudget(clock, changes), 100), [])
  }
})

measuring('the prober renews the oldest reports of services in use and pauses for unresponsive targets', async () => {
  const clock = ManualClock.create()
  const directory = Directory.create({ clock, logger: Logger.createSilent(), notices: Notices.create({ clock }), getMaxRemovalShare: () => 0 })
  const members = [0, 1, 2].map((index): Member => ({ id: `orders-${index}`, service: 'orders', region: 'kochi', failureDomain: 'a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }))
  directory.accept({ service: 'orders', version: 1, members })
  const balancer = Balancer.create({ service: 'orders', clock, random: Random.create(1), directory })
  const probed: string[] = []
  const prober = Prober.create({
    clock,
    budget: createBudget(clock),
    balancers: () => new Map([['orders', balancer]]),
    ownTargetId: 'orders-0',
    probe: async ({ id }) => {
      probed.push(id)
      return id === 'orders-1' ? undefined : { load: { running: 3, queued: 0, limit: 20, state: 'serving' }, incarnation: 'first' }
    }
  })
  await clock.advance(1_000)
  assert.equal(probed, [])
  balancer.choose(new Set())
  await clock.advance(1_900)
  assert.is(probed.filter(id => id === 'orders-1').length, 1)
  assert.is(probed.includes('orders-0'), false)
  assert.ok(probed.length > 5)
  await prober.close()
  await directory.close()
})

measuring('a prober without a target to probe searches for one at most ten times a second', async () => {
  const clock = ManualClock.create()
  let searches = 0
  const prober = Prober.create({
    clock,
    budget: createBudget(clock),
    balancers: () => {
      searches++
      return new Map()
    },
    probe: async () => undefined
  })
  await clock.advance(10_000)
  assert.ok(searches <= 101, `${searches} searches in ten seconds`)
  await prober.close()
})

measuring.run()
