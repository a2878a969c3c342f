import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { oddPages, oddVersions } from './fixtures/odd-values.js'
import { ProcessCluster } from './fixtures/process-cluster.js'

const test = suite('odd entries, processes')

/** Time within which a change has to be in force on every node, in milliseconds. */
const followedWithinMs = 2_000

/** Time for which a test waits for a configuration that no node may put in force, in milliseconds. */
const oddConfigurationMs = 1_500

/** Time for which a test lets nodes read odd pages, in milliseconds. */
const oddPagesMs = 5_000

async function withCluster (check: (cluster: ProcessCluster) => Promise<void>): Promise<void> {
  const cluster = await ProcessCluster.create(2)
  try {
    await check(cluster)
  } finally {
    await cluster.close()
  }
}

async function assertWorks (cluster: ProcessCluster, context: string): Promise<void> {
  assert.is(await cluster.findFailure(followedWithinMs), undefined, context)
}

// Guards against a node that ends, or follows no later version, after a configuration whose version is too large (issue 29).
test('after configurations whose version is too large, nodes serve requests and follow changes', async () => {
  await withCluster(async cluster => {
    for (const version of oddVersions) {
      const line = 'event=entry-unusable key=op/config'
      const before = cluster.countLines(line)
      cluster.store.put('op/config', JSON.stringify(cluster.createConfiguration('/odd/')).replace(/"version":\d+/, `"version":${version}`))
      await cluster.waitUntil('the configuration is left out', async () => cluster.countLines(line) > before, oddConfigurationMs).catch(() => {})
      await assertWorks(cluster, `version ${version}`)
    }
  })
})

// Guards against a node that ends, or stops following, because of pages that the store did not mean (issue 29).
test('after odd answers to any call, nodes serve requests and follow changes', async () => {
  await withCluster(async cluster => {
    const remaining = new Map(['/api/kv-watch', '/api/kv-range', '/api/kv-key'].map(path => [path, oddPages()]))
    cluster.store.overrideAnswer = (url, response) => {
      const page = remaining.get(url.pathname)?.pop()
      if (page === undefined) return undefined
      response.writeHead(200, { 'content-type': 'application/json' }).end(page)
      return 'answered'
    }
    const allRead = async (): Promise<boolean> => {
      cluster.store.discardHistory()
      cluster.configure('/page/')
      return cluster.nodes.some(({ end }) => end !== undefined) || [...remaining.values()].every(({ length }) => length === 0)
    }
    await cluster.waitUntil('the pages are read', allRead, oddPagesMs).catch(() => {})
    cluster.store.overrideAnswer = () => undefined
    await cluster.waitUntil('the pages are over', async () => await cluster.isServed('/page/'))
    await assertWorks(cluster, `pages not read: ${[...remaining].map(([path, { length }]) => `${path} ${length}`).join(', ')}`)
  })
})

test.run()
