import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StandInTarget } from '@auburnturn/stand-ins'
import { TestCluster } from './fixtures/test-cluster.js'

const test = suite('restored store')

/** Status of all answers while the store is away. */
const awayStatus = 503

/** How long the store is away, in milliseconds. */
const awayMs = 1_000

/** Time within which a configuration has to be active on all nodes, in milliseconds, by the rules of the platform. */
const configurationApplyMs = 2_000

/** Entries that nodes do not use; each is one revision. */
const otherEntries = 12

function writeOthers (cluster: TestCluster): void {
  for (let count = 0; count < otherEntries; count++) cluster.store.put(`other/${count}`, { count })
}

async function createCluster (): Promise<TestCluster> {
  return await TestCluster.create(['shop', 'shop', 'shop'])
}

function readVersions ({ nodes }: TestCluster): number[] {
  return nodes.map(({ version }) => version)
}

// Guards against a configuration that is never told since its revision was given out before the store came back from a copy (CONFIG; issue 32).
test('a configuration written below the known revision of an earlier era is active in time', async () => {
  const cluster = await createCluster()
  const copy = cluster.store.copy()
  writeOthers(cluster)
  await sleep(configurationApplyMs)
  cluster.store.errorStatus = awayStatus
  await sleep(awayMs)
  cluster.store.restore(copy)
  cluster.configure({ timeoutMs: 2_500 })
  writeOthers(cluster)
  writeOthers(cluster)
  cluster.store.errorStatus = undefined
  await sleep(configurationApplyMs)
  const versions = readVersions(cluster)
  await cluster.close()
  assert.equal(versions, [2, 2, 2])
})

// Guards against requests to a target whose removal was acknowledged, when an earlier copy of the store lists it as ready (DRAIN; issue 32).
test('a target that has left gets no requests when the copy lists it again', async () => {
  const cluster = await createCluster()
  const copy = cluster.store.copy()
  cluster.store.remove('servers/i-1')
  writeOthers(cluster)
  await sleep(configurationApplyMs)
  cluster.store.errorStatus = awayStatus
  await sleep(awayMs)
  cluster.store.restore(copy)
  cluster.store.errorStatus = undefined
  const leaving = cluster.targets[1] as StandInTarget
  const before = leaving.receivedRequests.length
  for (let count = 0; count < 60; count++) {
    await cluster.send(count % 3, `/pages/${count}`)
    await sleep(25)
  }
  const received = leaving.receivedRequests.length - before
  await cluster.close()
  assert.is(received, 0)
})

test.run()
