import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster, listNodeLocations } from './fixtures/test-cluster.js'

const configuration = suite('configuration over many nodes')

const domains = ['kochi-a', 'kochi-b', 'kazanlak-a']

configuration('a change comes into force on every node, though few nodes read', async () => {
  const fleet = await TestCluster.create(listNodeLocations(domains, 6))
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  await fleet.advance(5_000)
  const before = fleet.platform.reads
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(2000), 10_000)
  const readers = fleet.nodes.filter(node => (node.dump().relay as { role: string }).role === 'reader')
  assert.is(readers.length, 2 * domains.length)
  assert.ok(fleet.platform.reads - before <= 4 * readers.length, `${fleet.platform.reads - before} reads`)
  await fleet.close()
})

configuration('the trees alone reach every node, before any comparison could', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 20))
  await fleet.advanceUntil('the lists are known everywhere', () => fleet.nodes.every(node => (node.dump().relay as { peers: number }).peers === 20))
  await fleet.advance(3_000)
  for (let callMs = 2001; callMs < 2006; callMs++) {
    fleet.publishCallTimeout(callMs)
    await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(callMs), 800)
    await fleet.advance(2_000)
  }
  await fleet.close()
})

configuration('a value of a megabyte reaches every node, and what follows is not held up for long', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 10))
  await fleet.advanceUntil('the lists are known everywhere', () => fleet.nodes.every(node => (node.dump().relay as { peers: number }).peers === 10))
  fleet.platform.publish('profile/calm', `{ "timeouts": { "callMs": 2000 } } // ${'x'.repeat(1_000_000)}`)
  await fleet.advanceUntil('all know the large one', () => fleet.allUseCallTimeout(2000), 10_000)
  fleet.publishCallTimeout(3000)
  await fleet.advanceUntil('all know the next one', () => fleet.allUseCallTimeout(3000), 10_000)
  await fleet.close()
})

configuration('a notice of one node reaches every node and is forgotten in time', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 10))
  await fleet.advanceUntil('the lists are known everywhere', () => fleet.nodes.every(node => (node.dump().relay as { peers: number }).peers === 10))
  await fleet.advance(3_000)
  fleet.nodes[13]?.notices.add('suspect', 'abc', 20_000)
  await fleet.advanceUntil('all have heard it', () => fleet.nodes.every(node => node.notices.has('suspect', 'abc')), 1_500)
  await fleet.advance(30_000)
  assert.not.ok(fleet.nodes.some(node => node.notices.has('suspect', 'abc')))
  await fleet.close()
})

configuration('a node that closes has told the others that it leaves', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 5))
  await fleet.advanceUntil('the lists are known everywhere', () => fleet.nodes.every(node => node.directory.liveMembers('orders').length === 10))
  await fleet.closeNodes([3])
  const rest = fleet.nodes.filter((_node, index) => index !== 3)
  await fleet.advanceUntil('no other node sends it work, though the list still calls it live', () => rest.every(node => node.directory.liveMembers('orders').length === 9), 2_000)
  await fleet.close()
})

configuration('a service that is down leaves the last good one in force, and says for how long', async () => {
  const fleet = await TestCluster.create(listNodeLocations(domains, 3))
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  fleet.platform.startOutage()
  await fleet.advance(60_000)
  assert.ok(fleet.allUseCallTimeout(1000))
  for (const node of fleet.nodes) {
    const { platformSilentMs } = node.dump().configuration as { platformSilentMs: number }
    assert.ok(platformSilentMs > 30_000, `silent for ${platformSilentMs} ms`)
  }
  assert.ok(fleet.logLines.some(line => line.includes('event=platform-silent')))
  fleet.platform.down = false
  fleet.publishCallTimeout(3000)
  await fleet.advanceUntil('all know the change made while it was down', () => fleet.allUseCallTimeout(3000))
  await fleet.close()
})

configuration('a node that starts while the service is down hears the newest from its peers', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 6))
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(2000))
  await fleet.closeNodes([2])
  fleet.platform.startOutage()
  const late = await fleet.startNode(2)
  await fleet.advanceUntil('the new node knows it', () => fleet.allUseCallTimeout(2000, [late]), 10_000)
  assert.is((late.dump().configuration as { source: string }).source, 'peer')
  await fleet.close()
})

configuration('a rolled-back service takes nothing back, not even for a node that restarts', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a', 'kochi-b'], 3))
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(2000))
  fleet.platform.rollBack(2)
  await fleet.advance(30_000)
  assert.ok(fleet.allUseCallTimeout(2000))
  await fleet.closeNodes([1])
  const late = await fleet.startNode(1)
  assert.equal(fleet.readCallTimeouts([late]), [2000], 'when it starts to take calls')
  await fleet.advance(30_000)
  assert.ok(fleet.allUseCallTimeout(2000))
  assert.ok(fleet.logLines.some(line => line.includes('event=platform-stale')))
  fleet.publishCallTimeout(3000)
  fleet.publishCallTimeout(4000)
  await fleet.advanceUntil('versions beyond the newest count again', () => fleet.allUseCallTimeout(4000))
  await fleet.close()
})

configuration('a removed service stays removed when an older copy comes back', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await fleet.advanceUntil('all know the service', () => fleet.nodes.every(node => node.store.hasService('orders')))
  fleet.platform.publish('service/orders', undefined)
  await fleet.advanceUntil('all know the removal', () => fleet.nodes.every(node => !node.store.hasService('orders')))
  fleet.platform.rollBack(2)
  await fleet.advance(30_000)
  assert.ok(fleet.nodes.every(node => !node.store.hasService('orders')))
  await fleet.close()
})

configuration('a reader that falls silent is replaced without a vote', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 8))
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  const isReader = (index: number): boolean => (fleet.nodes[index]?.dump().relay as { role: string }).role === 'reader'
  const findReaders = (): number[] => [...fleet.nodes.keys()].filter(isReader)
  await fleet.advanceUntil('the list is known everywhere', () => findReaders().length === 2)
  const readers = findReaders()
  await fleet.closeNodes(readers)
  const rest = fleet.nodes.filter((_node, index) => !readers.includes(index))
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('the others know the change', () => fleet.allUseCallTimeout(2000, rest), 60_000)
  await fleet.close()
})

configuration('a refused document stays out everywhere with its reason in the dump', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  fleet.platform.publish('profile/calm', '{ "timeouts": { "callMs": "soon" } }')
  const refusals = (): unknown[] => fleet.nodes.map(node => (node.dump().configuration as { rejected: Array<{ key: string, version: number }> }).rejected[0])
  await fleet.advanceUntil('all show the refusal', () => refusals().every(refusal => refusal !== undefined))
  assert.ok(fleet.allUseCallTimeout(1000))
  await fleet.closeNodes([1])
  const late = await fleet.startNode(1)
  await fleet.advanceUntil('a node that starts after it hears the last good one from its peers', () => fleet.allUseCallTimeout(1000, [late]))
  await fleet.close()
})

configuration('all nodes that restart together start with the newest and read little', async () => {
  const fleet = await TestCluster.create(listNodeLocations(domains, 6))
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(2000))
  await fleet.closeNodes([...fleet.nodes.keys()])
  const before = fleet.platform.reads
  await fleet.startNodes([...fleet.nodes.keys()])
  await fleet.advanceUntil('all know the change again', () => fleet.allUseCallTimeout(2000), 20_000)
  assert.ok(fleet.platform.reads - before <= 4 * fleet.nodes.length, `${fleet.platform.reads - before} reads`)
  await fleet.close()
})

configuration('regions that lose each other for an hour agree again after it', async () => {
  const places = listNodeLocations(['kochi-a', 'kazanlak-a'], 4)
  const fleet = await TestCluster.create(places)
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  await fleet.advance(5_000)
  const [kochi, kazanlak] = [fleet.nodes.slice(0, 4), fleet.nodes.slice(4)]
  // The platform answers only one side, and no control message crosses.
  fleet.partition(index => index < 4 ? 'kochi' : 'kazanlak')
  fleet.platform.startOutage()
  await fleet.advance(30_000)
  kochi[0]?.store.accept({ key: 'profile/calm', version: 100, text: '{ "timeouts": { "callMs": 5000 } }' }, 'platform')
  await fleet.advanceUntil('one side knows the change', () => fleet.allUseCallTimeout(5000, kochi))
  await fleet.advance(60_000)
  assert.ok(fleet.allUseCallTimeout(1000, kazanlak))
  assert.ok(fleet.logLines.some(line => line.includes('event=region-apart')))
  fleet.healPartition()
  await fleet.advanceUntil('the other side knows it', () => fleet.allUseCallTimeout(5000), 60_000)
  await fleet.advanceUntil('both say so', () => fleet.logLines.some(line => line.includes('event=region-rejoined')), 60_000)
  await fleet.close()
})

configuration('a node that was paused wakes up with an old view and keeps to the newest', async () => {
  const fleet = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await fleet.advanceUntil('all know the first profile', () => fleet.allUseCallTimeout(1000))
  fleet.publishCallTimeout(2000)
  await fleet.advanceUntil('all know the change', () => fleet.allUseCallTimeout(2000))
  fleet.clock.jump(600_000)
  fleet.platform.rollBack(2)
  await fleet.advance(20_000)
  assert.ok(fleet.allUseCallTimeout(2000))
  fleet.publishCallTimeout(2500)
  fleet.publishCallTimeout(3000)
  await fleet.advanceUntil('all know what came after', () => fleet.allUseCallTimeout(3000))
  await fleet.close()
})

configuration.run()
