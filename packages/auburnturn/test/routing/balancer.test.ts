import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Balancer, chooseSubset, Directory, done, Logger, ManualClock, mayHaveRun, Notices, notRun, Random } from '../../src/index.js'
import type { Load, Member, Outcome } from '../../src/index.js'

const balancer = suite('balancer')

const idle: Load = { running: 0, queued: 0, limit: 20, state: 'serving' }

function createMember (index: number, failureDomain = `domain-${index % 3}`): Member {
  return { id: `orders-${index}`, service: 'orders', region: 'kochi', failureDomain, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }
}

function createFleet (size: number): { clock: ManualClock, balancer: Balancer, publish: (size: number) => void, close: () => Promise<void> } {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const directory = Directory.create({ clock, logger: Logger.createSilent(), notices, getMaxRemovalShare: () => 0 })
  let version = 0
  const publish = (count: number): void => {
    directory.accept({ service: 'orders', version: ++version, members: Array.from({ length: count }, (_, index) => createMember(index)) })
  }
  publish(size)
  const created = Balancer.create({ service: 'orders', clock, random: Random.create(1), directory })
  return { clock, balancer: created, publish, close: async () => { await directory.close() } }
}

/** Sends `count` calls, one per millisecond; `serve` returns the outcome at a target and the time until it. */
async function send (fleet: ReturnType<typeof createFleet>, count: number, serve: (id: string) => { ms: number, outcome: Outcome }): Promise<Map<string, number>> {
  const sent = new Map<string, number>()
  for (let call = 0; call < count; call++) {
    const member = fleet.balancer.choose(new Set()) as Member
    sent.set(member.id, (sent.get(member.id) ?? 0) + 1)
    const started = fleet.balancer.recordStart(member)
    const { ms, outcome } = serve(member.id)
    fleet.clock.after(ms, () => { fleet.balancer.recordOutcome(started, outcome) })
    await fleet.clock.advance(1)
  }
  await fleet.clock.advance(1_000)
  return sent
}

balancer('a straggler is avoided after a few answers and used again once it recovers', async () => {
  const fleet = createFleet(3)
  let slow = true
  const serve = (id: string): { ms: number, outcome: Outcome } => ({ ms: slow && id === 'orders-0' ? 100 : 5, outcome: { verdict: done, load: idle } })
  const first = await send(fleet, 300, serve)
  assert.ok((first.get('orders-0') ?? 0) <= 15, `${first.get('orders-0') ?? 0} calls reached the straggler`)
  slow = false
  const later = await send(fleet, 600, serve)
  assert.ok((later.get('orders-0') ?? 0) >= 120, `${later.get('orders-0') ?? 0} calls reached it after it recovered`)
  await fleet.close()
})

balancer('an upstream that fails fast does not attract traffic', async () => {
  for (const outcome of [{ verdict: done, status: 503 }, { verdict: mayHaveRun('connection-lost') }, { verdict: notRun('connect-failed') }]) {
    const fleet = createFleet(3)
    const sent = await send(fleet, 300, id => id === 'orders-0' ? { ms: 0.1, outcome } : { ms: 5, outcome: { verdict: done, status: 200 } })
    assert.ok((sent.get('orders-0') ?? 0) <= 12, `${sent.get('orders-0') ?? 0} calls for ${outcome.verdict.kind}`)
    await fleet.close()
  }
})

balancer('all targets stay in use when most of them fail', async () => {
  const fleet = createFleet(3)
  const sent = await send(fleet, 300, () => ({ ms: 1, outcome: { verdict: done, status: 503 } }))
  assert.is(sent.size, 3)
  for (const count of sent.values()) assert.ok(count > 50)
  await fleet.close()
})

balancer('a target that reports draining gets no further calls', async () => {
  const fleet = createFleet(3)
  const draining: Outcome = { verdict: notRun('admission-closed'), load: { ...idle, state: 'draining' } }
  const sent = await send(fleet, 100, id => id === 'orders-0' ? { ms: 1, outcome: draining } : { ms: 5, outcome: { verdict: done, load: idle } })
  assert.ok((sent.get('orders-0') ?? 0) <= 2)
  await fleet.close()
})

balancer('a new member starts with a small share of calls', async () => {
  const fleet = createFleet(2)
  const serve = (): { ms: number, outcome: Outcome } => ({ ms: 10, outcome: { verdict: done } })
  await send(fleet, 50, serve)
  fleet.publish(3)
  fleet.balancer.refresh()
  const sent = await send(fleet, 300, serve)
  assert.ok((sent.get('orders-2') ?? 0) > 0)
  assert.ok((sent.get('orders-2') ?? 0) < 60, `${sent.get('orders-2') ?? 0} of 300`)
  await fleet.close()
})

balancer('a new incarnation starts with a small share of calls', async () => {
  const fleet = createFleet(2)
  await send(fleet, 50, id => ({ ms: 10, outcome: { verdict: done, incarnation: `first-${id}` } }))
  const serve = (id: string): { ms: number, outcome: Outcome } => ({ ms: 10, outcome: { verdict: done, incarnation: id === 'orders-0' ? 'second' : `first-${id}` } })
  const sent = await send(fleet, 300, serve)
  assert.ok((sent.get('orders-0') ?? 0) < 100, `${sent.get('orders-0') ?? 0} of 300`)
  await fleet.close()
})

balancer('a report that is contradicted by a refusal is ignored', async () => {
  const fleet = createFleet(2)
  const [one, two] = [createMember(0), createMember(1)]
  fleet.balancer.recordReport(one, { ...idle, running: 2 }, undefined)
  fleet.balancer.recordReport(two, { ...idle, running: 19 }, undefined)
  assert.is(fleet.balancer.choose(new Set())?.id, 'orders-0')
  fleet.balancer.recordOutcome(fleet.balancer.recordStart(two), { verdict: notRun('overloaded') })
  const dump = fleet.balancer.dump() as Array<{ id: string, trust: number }>
  assert.is(dump.find(({ id }) => id === 'orders-1')?.trust, 0)
  await fleet.close()
})

balancer('the weight of a report decays with its age', async () => {
  const fleet = createFleet(2)
  fleet.balancer.recordReport(createMember(0), { ...idle, running: 15 }, undefined)
  assert.is(fleet.balancer.choose(new Set())?.id, 'orders-1')
  fleet.balancer.recordStart(createMember(1))
  await fleet.clock.advance(1_000)
  assert.is(fleet.balancer.choose(new Set())?.id, 'orders-0')
  await fleet.close()
})

balancer('subsets are balanced over targets and failure domains and change little when a member leaves', () => {
  const members = Array.from({ length: 60 }, (_, index) => createMember(index, `domain-${index % 7}`))
  const counts = new Map<string, number>()
  let moved = 0
  for (let router = 0; router < 300; router++) {
    const subset = chooseSubset(members, `router-${router}`, 10)
    assert.is(new Set(subset).size, 10)
    const perDomain = new Map<string, number>()
    for (const { id, failureDomain } of subset) {
      counts.set(id, (counts.get(id) ?? 0) + 1)
      perDomain.set(failureDomain, (perDomain.get(failureDomain) ?? 0) + 1)
    }
    assert.ok(Math.max(...perDomain.values()) <= 2)
    const after = chooseSubset(members.slice(1), `router-${router}`, 10)
    moved += after.filter(member => !subset.includes(member)).length
  }
  for (const count of counts.values()) assert.ok(count >= 20 && count <= 90, `${count} routers of one target, 50 expected`)
  assert.is(counts.size, 60)
  assert.ok(moved < 300 * 10 * 0.05, `${moved} pairs moved`)
})

balancer.run()
