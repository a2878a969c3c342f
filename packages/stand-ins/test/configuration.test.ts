import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster, listNodeLocations } from './fixtures/test-cluster.js'

const configuration = suite('configuration of many nodes')

const domains = ['kochi-a', 'kochi-b', 'kazanlak-a']

configuration('a change takes effect on every node, though only a few nodes read the platform', async () => {
  const cluster = await TestCluster.create(listNodeLocations(domains, 6))
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  await cluster.advance(5_000)
  const before = cluster.platform.reads
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(2000), 10_000)
  const readers = cluster.nodes.filter(node => (node.dump().relay as { role: string }).role === 'reader')
  assert.is(readers.length, 2 * domains.length)
  assert.ok(cluster.platform.reads - before <= 4 * readers.length, `${cluster.platform.reads - before} reads`)
  await cluster.close()
})

configuration('the broadcast trees alone reach every node, before an anti-entropy comparison could', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 20))
  await cluster.advanceUntil('all nodes have the member lists', () => cluster.nodes.every(node => (node.dump().relay as { peers: number }).peers === 20))
  await cluster.advance(3_000)
  for (let callMs = 2001; callMs < 2006; callMs++) {
    cluster.publishCallTimeout(callMs)
    await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(callMs), 800)
    await cluster.advance(2_000)
  }
  await cluster.close()
})

configuration('a value of one megabyte reaches every node and does not delay later changes for long', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 10))
  await cluster.advanceUntil('all nodes have the member lists', () => cluster.nodes.every(node => (node.dump().relay as { peers: number }).peers === 10))
  cluster.platform.publish('profile/calm', `{ "timeouts": { "callMs": 2000 } } // ${'x'.repeat(1_000_000)}`)
  await cluster.advanceUntil('all nodes have the large value', () => cluster.allUseCallTimeout(2000), 10_000)
  cluster.publishCallTimeout(3000)
  await cluster.advanceUntil('all nodes have the next change', () => cluster.allUseCallTimeout(3000), 10_000)
  await cluster.close()
})

configuration('a notice of one node reaches every node and expires', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 10))
  await cluster.advanceUntil('all nodes have the member lists', () => cluster.nodes.every(node => (node.dump().relay as { peers: number }).peers === 10))
  await cluster.advance(3_000)
  cluster.nodes[13]?.notices.add('suspect', 'abc', 20_000)
  await cluster.advanceUntil('all nodes have received the notice', () => cluster.nodes.every(node => node.notices.has('suspect', 'abc')), 1_500)
  await cluster.advance(30_000)
  assert.not.ok(cluster.nodes.some(node => node.notices.has('suspect', 'abc')))
  await cluster.close()
})

configuration('a node that closes has announced to the others that it leaves', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a', 'kazanlak-a'], 5))
  await cluster.advanceUntil('all nodes have the member lists', () => cluster.nodes.every(node => node.directory.liveMembers('orders').length === 10))
  await cluster.closeNodes([3])
  const others = cluster.nodes.filter((_node, index) => index !== 3)
  await cluster.advanceUntil('no other node sends it calls, though the member list still says live', () => others.every(node => node.directory.liveMembers('orders').length === 9), 2_000)
  await cluster.close()
})

configuration('the last good configuration stays active during an outage of the platform, and the dump shows its length', async () => {
  const cluster = await TestCluster.create(listNodeLocations(domains, 3))
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  cluster.platform.startOutage()
  await cluster.advance(60_000)
  assert.ok(cluster.allUseCallTimeout(1000))
  for (const node of cluster.nodes) {
    const { platformSilentMs } = node.dump().configuration as { platformSilentMs: number }
    assert.ok(platformSilentMs > 30_000, `no platform contact for ${platformSilentMs} ms`)
  }
  assert.ok(cluster.logLines.some(line => line.includes('event=platform-silent')))
  cluster.platform.down = false
  cluster.publishCallTimeout(3000)
  await cluster.advanceUntil('all nodes have the change made during the outage', () => cluster.allUseCallTimeout(3000))
  await cluster.close()
})

configuration('a node that starts during an outage of the platform receives the newest configuration from its peers', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 6))
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(2000))
  await cluster.closeNodes([2])
  cluster.platform.startOutage()
  const restarted = await cluster.startNode(2)
  await cluster.advanceUntil('the restarted node has the change', () => cluster.allUseCallTimeout(2000, [restarted]), 10_000)
  assert.is((restarted.dump().configuration as { source: string }).source, 'peer')
  await cluster.close()
})

configuration('a rollback of the platform reverts no node, not even one that restarts', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a', 'kochi-b'], 3))
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(2000))
  cluster.platform.rollBack(2)
  await cluster.advance(30_000)
  assert.ok(cluster.allUseCallTimeout(2000))
  await cluster.closeNodes([1])
  const restarted = await cluster.startNode(1)
  assert.equal(cluster.readCallTimeouts([restarted]), [2000], 'when it starts to accept calls')
  await cluster.advance(30_000)
  assert.ok(cluster.allUseCallTimeout(2000))
  assert.ok(cluster.logLines.some(line => line.includes('event=platform-stale')))
  cluster.publishCallTimeout(3000)
  cluster.publishCallTimeout(4000)
  await cluster.advanceUntil('versions newer than the newest known one are accepted again', () => cluster.allUseCallTimeout(4000))
  await cluster.close()
})

configuration('a removed service stays removed when the platform returns an older copy', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await cluster.advanceUntil('all nodes have the service', () => cluster.nodes.every(node => node.store.hasService('orders')))
  cluster.platform.publish('service/orders', undefined)
  await cluster.advanceUntil('all nodes have removed the service', () => cluster.nodes.every(node => !node.store.hasService('orders')))
  cluster.platform.rollBack(2)
  await cluster.advance(30_000)
  assert.ok(cluster.nodes.every(node => !node.store.hasService('orders')))
  await cluster.close()
})

configuration('a reader that closes is replaced without a vote', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 8))
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  const isReader = (index: number): boolean => (cluster.nodes[index]?.dump().relay as { role: string }).role === 'reader'
  const findReaders = (): number[] => [...cluster.nodes.keys()].filter(isReader)
  await cluster.advanceUntil('two readers are elected', () => findReaders().length === 2)
  const readers = findReaders()
  await cluster.closeNodes(readers)
  const others = cluster.nodes.filter((_node, index) => !readers.includes(index))
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('the other nodes have the change', () => cluster.allUseCallTimeout(2000, others), 60_000)
  await cluster.close()
})

configuration('a rejected document is applied on no node, and the dump shows the reason', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  cluster.platform.publish('profile/calm', '{ "timeouts": { "callMs": "soon" } }')
  const findRejections = (): unknown[] => cluster.nodes.map(node => (node.dump().configuration as { rejected: Array<{ key: string, version: number }> }).rejected[0])
  await cluster.advanceUntil('all nodes show the rejection', () => findRejections().every(rejection => rejection !== undefined))
  assert.ok(cluster.allUseCallTimeout(1000))
  await cluster.closeNodes([1])
  const restarted = await cluster.startNode(1)
  await cluster.advanceUntil('a node that starts later receives the last good configuration from its peers', () => cluster.allUseCallTimeout(1000, [restarted]))
  await cluster.close()
})

configuration('nodes that all restart together start with the newest configuration and read the platform rarely', async () => {
  const cluster = await TestCluster.create(listNodeLocations(domains, 6))
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(2000))
  await cluster.closeNodes([...cluster.nodes.keys()])
  const before = cluster.platform.reads
  await cluster.startNodes([...cluster.nodes.keys()])
  await cluster.advanceUntil('all nodes have the change again', () => cluster.allUseCallTimeout(2000), 20_000)
  assert.ok(cluster.platform.reads - before <= 4 * cluster.nodes.length, `${cluster.platform.reads - before} reads`)
  await cluster.close()
})

configuration('regions agree again after a partition between them', async () => {
  const locations = listNodeLocations(['kochi-a', 'kazanlak-a'], 4)
  const cluster = await TestCluster.create(locations)
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  await cluster.advance(5_000)
  const [kochi, kazanlak] = [cluster.nodes.slice(0, 4), cluster.nodes.slice(4)]
  // Only one region gets the change; the platform is down and no control message crosses between the regions.
  cluster.partition(index => index < 4 ? 'kochi' : 'kazanlak')
  cluster.platform.startOutage()
  await cluster.advance(30_000)
  kochi[0]?.store.accept({ key: 'profile/calm', version: 100, text: '{ "timeouts": { "callMs": 5000 } }' }, 'platform')
  await cluster.advanceUntil('one region has the change', () => cluster.allUseCallTimeout(5000, kochi))
  await cluster.advance(60_000)
  assert.ok(cluster.allUseCallTimeout(1000, kazanlak))
  assert.ok(cluster.logLines.some(line => line.includes('event=region-apart')))
  cluster.healPartition()
  await cluster.advanceUntil('the other region has it', () => cluster.allUseCallTimeout(5000), 60_000)
  await cluster.advanceUntil('a node logs that the regions are connected again', () => cluster.logLines.some(line => line.includes('event=region-rejoined')), 60_000)
  await cluster.close()
})

configuration('nodes that resume after a pause keep the newest configuration, though the platform returns an older one', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 4))
  await cluster.advanceUntil('all nodes have the first profile', () => cluster.allUseCallTimeout(1000))
  cluster.publishCallTimeout(2000)
  await cluster.advanceUntil('all nodes have the change', () => cluster.allUseCallTimeout(2000))
  cluster.clock.jump(600_000)
  cluster.platform.rollBack(2)
  await cluster.advance(20_000)
  assert.ok(cluster.allUseCallTimeout(2000))
  cluster.publishCallTimeout(2500)
  cluster.publishCallTimeout(3000)
  await cluster.advanceUntil('all nodes have the later change', () => cluster.allUseCallTimeout(3000))
  await cluster.close()
})

configuration.run()
