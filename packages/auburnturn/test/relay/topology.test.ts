import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ByteBudget, ReaderElection, Topology } from '../../src/core/relay/index.js'
import type { Peer } from '../../src/core/relay/index.js'
import { ManualClock } from '../../src/index.js'

const topology = suite('topology')

const ids = Array.from({ length: 200 }, (_, index) => `orders-${index}`)

function describePeer (id: string, failureDomain = 'kochi-a'): Peer {
  return { id, region: 'kochi', failureDomain, ip: '127.0.0.1', controlPort: 1 }
}

function createTopology (self: string, clock = ManualClock.create()): Topology {
  const view = Topology.create({ self: describePeer(self), clock })
  for (const id of ids) view.setMember(id, describePeer(id))
  return view
}

topology('a tree reaches every member once, over few hops and children', () => {
  const view = createTopology('orders-0')
  const root = 'orders-17'
  const reached = new Set([root])
  let row = [root]
  let hops = 0
  for (; row.length > 0; hops++) {
    row = row.flatMap(id => view.findChildren(id, root).map(child => child.id))
    for (const id of row) {
      assert.not.ok(reached.has(id))
      reached.add(id)
    }
  }
  assert.is(reached.size, ids.length)
  assert.ok(hops <= 6, `${hops} hops`)
})

topology('every member is compared with by as many as it compares with', () => {
  const chosen = new Map<string, number>()
  for (const id of ids) for (const partner of createTopology(id).comparisonPeers) chosen.set(partner.id, (chosen.get(partner.id) ?? 0) + 1)
  assert.is(chosen.size, ids.length)
  assert.is(new Set(chosen.values()).size, 1)
})

topology('all nodes choose the same readers, and the next one stands in for a silent one', () => {
  const clock = ManualClock.create()
  const roles = ids.map(id => ReaderElection.create({ topology: createTopology(id, clock), clock }))
  const readers = ids.filter((_id, index) => roles[index]?.role === 'reader')
  assert.is(readers.length, 2)
  for (const role of roles) role.recordFailure(readers[0] as string)
  const standIns = ids.filter((id, index) => roles[index]?.role === 'reader' && !readers.includes(id))
  assert.is(standIns.length, 1)
  for (const role of roles) role.recordAnswer(readers[0] as string, 0)
  assert.equal(ids.filter((_id, index) => roles[index]?.role === 'reader'), readers)
})

topology('a reader that the platform does not answer gives way', () => {
  const clock = ManualClock.create()
  const view = createTopology('orders-0', clock)
  const [first, , third] = view.domainPeers as [Peer, Peer, Peer]
  const role = ReaderElection.create({ topology: createTopology(third.id, clock), clock })
  assert.is(role.role, 'follower')
  role.recordAnswer(first.id, 25_000)
  assert.is(role.role, 'reader')
})

topology('a list that loses most members does not take them out of the relay at once', async () => {
  const clock = ManualClock.create()
  const view = createTopology('orders-0', clock)
  assert.is(view.domainPeers.length, ids.length)
  for (const id of ids.slice(0, 150)) view.setMember(id, undefined)
  assert.is(view.domainPeers.length, ids.length)
  await clock.advance(600_001)
  assert.is(view.domainPeers.length, 51)
})

topology('a budget lets a burst through, then only its rate', async () => {
  const clock = ManualClock.create()
  const budget = ByteBudget.create({ clock, bytesPerSecond: 1000, burstBytes: 2000 })
  for (let count = 0; count < 6; count++) budget.spend(500)
  assert.not.ok(budget.hasTokens)
  await clock.advance(1_100)
  assert.ok(budget.hasTokens)
  await clock.advance(9_000)
  assert.is(Math.round(budget.meanBytesPerSecond), 297)
})

topology('one large message silences the relay for seconds, not for minutes', async () => {
  const clock = ManualClock.create()
  const budget = ByteBudget.create({ clock, bytesPerSecond: 5_000, burstBytes: 10_000 })
  budget.spend(4_000_000)
  await clock.advance(1_900)
  assert.not.ok(budget.hasTokens)
  await clock.advance(200)
  assert.ok(budget.hasTokens)
  assert.is(budget.dump().overdrawnBytes, 980_000)
})

topology.run()
