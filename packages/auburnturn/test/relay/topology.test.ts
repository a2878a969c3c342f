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
  const nodeTopology = Topology.create({ self: describePeer(self), clock })
  for (const id of ids) nodeTopology.setMember(id, describePeer(id))
  return nodeTopology
}

topology('a broadcast tree reaches every member once, in at most 6 hops', () => {
  const nodeTopology = createTopology('orders-0')
  const root = 'orders-17'
  const reached = new Set([root])
  let level = [root]
  let hops = 0
  for (; level.length > 0; hops++) {
    level = level.flatMap(id => nodeTopology.findChildren(id, root).map(child => child.id))
    for (const id of level) {
      assert.not.ok(reached.has(id))
      reached.add(id)
    }
  }
  assert.is(reached.size, ids.length)
  assert.ok(hops <= 6, `${hops} hops`)
})

topology('every member is a comparison peer of equally many members', () => {
  const counts = new Map<string, number>()
  for (const id of ids) for (const peer of createTopology(id).comparisonPeers) counts.set(peer.id, (counts.get(peer.id) ?? 0) + 1)
  assert.is(counts.size, ids.length)
  assert.is(new Set(counts.values()).size, 1)
})

topology('all nodes choose the same readers, and the next candidate replaces an unresponsive one', () => {
  const clock = ManualClock.create()
  const elections = ids.map(id => ReaderElection.create({ topology: createTopology(id, clock), clock }))
  const readers = ids.filter((_id, index) => elections[index]?.role === 'reader')
  assert.is(readers.length, 2)
  for (const election of elections) election.recordFailure(readers[0] as string)
  const replacements = ids.filter((id, index) => elections[index]?.role === 'reader' && !readers.includes(id))
  assert.is(replacements.length, 1)
  for (const election of elections) election.recordAnswer(readers[0] as string, 0)
  assert.equal(ids.filter((_id, index) => elections[index]?.role === 'reader'), readers)
})

topology('the next candidate replaces a reader that the platform does not answer', () => {
  const clock = ManualClock.create()
  const nodeTopology = createTopology('orders-0', clock)
  const [first, , third] = nodeTopology.domainPeers as [Peer, Peer, Peer]
  const election = ReaderElection.create({ topology: createTopology(third.id, clock), clock })
  assert.is(election.role, 'follower')
  election.recordAnswer(first.id, 25_000)
  assert.is(election.role, 'reader')
})

topology('members stay in the topology for a while after a list loses most of them', async () => {
  const clock = ManualClock.create()
  const nodeTopology = createTopology('orders-0', clock)
  assert.is(nodeTopology.domainPeers.length, ids.length)
  for (const id of ids.slice(0, 150)) nodeTopology.setMember(id, undefined)
  assert.is(nodeTopology.domainPeers.length, ids.length)
  await clock.advance(600_001)
  assert.is(nodeTopology.domainPeers.length, 51)
})

topology('a budget allows a burst, then only its sustained rate', async () => {
  const clock = ManualClock.create()
  const budget = ByteBudget.create({ clock, bytesPerSecond: 1000, burstBytes: 2000 })
  for (let count = 0; count < 6; count++) budget.spend(500)
  assert.not.ok(budget.hasTokens)
  await clock.advance(1_100)
  assert.ok(budget.hasTokens)
  await clock.advance(9_000)
  assert.is(Math.round(budget.meanBytesPerSecond), 297)
})

topology('one large message pauses the relay for seconds, not for minutes', async () => {
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
