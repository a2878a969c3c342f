import { createSocket } from 'node:dgram'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { deflateRawSync } from 'node:zlib'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DatagramStamps, formatReadAnswer, parseRead } from '../src/core/attribution/index.js'
import { encodeReport } from '../src/core/reports/index.js'
import { unlimited } from '../src/core/rate-limit/index.js'
import { oddDatagrams, oddEntries, oddFrames, oddPages, oddVersions } from './fixtures/odd-values.js'
import { ProcessCluster, processPorts } from './fixtures/process-cluster.js'

const test = suite('odd entries, processes')

/** Time within which a change has to be in force on every node, in milliseconds. */
const followedWithinMs = 2_000

/** Time for which a test waits for a configuration that no node may put in force, in milliseconds. */
const oddConfigurationMs = 1_500

/** Time for which a test lets nodes read odd pages, in milliseconds. */
const oddPagesMs = 5_000

/** Index of the address from which a test writes to the nodes as another node. */
const otherNodeIndex = 40

async function withCluster (check: (cluster: ProcessCluster) => Promise<void>, nodeCount = 2): Promise<void> {
  const cluster = await ProcessCluster.create(nodeCount)
  try {
    await check(cluster)
  } finally {
    await cluster.close()
  }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function assertWorks (cluster: ProcessCluster, context: string): Promise<void> {
  assert.is(await cluster.findFailure(followedWithinMs), undefined, context)
}

// Guards against a node that ends, stops following or fills its log because of odd entries of targets (issue 29).
test('with many odd entries of targets, nodes serve requests, follow changes and log each entry once', async () => {
  await withCluster(async cluster => {
    for (const [index, value] of oddEntries(60).entries()) cluster.store.put(`servers/odd-${index}`, value)
    await assertWorks(cluster, 'after the entries')
    // The nodes list the store again.
    cluster.store.discardHistory()
    await assertWorks(cluster, 'after a list')
    assert.is(cluster.countLines('event=entry-unusable key=servers/odd-0'), cluster.nodes.length, 'lines of one entry')
  })
})

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

// Guards against a node that ends because of a datagram that is no message, or a message with odd content (issue 29).
test('after odd datagrams, nodes serve requests and follow changes', async () => {
  await withCluster(async cluster => {
    const socket = createSocket('udp4')
    await new Promise<void>(resolve => { socket.bind(0, cluster.getIp(otherNodeIndex), resolve) })
    const stamps = DatagramStamps.create({ random: Random.create(1) })
    for (const bytes of oddDatagrams(100)) {
      for (const datagram of [bytes, Buffer.concat([stamps.stamp(bytes), bytes])]) {
        for (const [index] of cluster.nodes.entries()) socket.send(datagram, processPorts.internal, cluster.getIp(index))
      }
      await sleep(1)
    }
    await sleep(200)
    socket.close()
    await assertWorks(cluster, 'after the datagrams')
  })
})

// Guards against a node that ends, or whose target has no slots left, because of odd bytes at its port for calls (issue 29).
test('after odd frames, a node serves requests at its own target and follows changes', async () => {
  await withCluster(async cluster => {
    for (const bytes of oddFrames(100)) {
      const socket = connect({ host: cluster.getIp(0), port: processPorts.internal })
      socket.on('error', () => {})
      socket.write(bytes)
      setTimeout(() => { socket.destroy() }, 100)
      await sleep(2)
    }
    await assertWorks(cluster, 'after the frames')
  }, 1)
})

/** States that a faulty node may serve: its version is announced as the highest one. */
const oddStates: ReadonlyArray<readonly [string, (version: number) => Buffer]> = [
  ['no JSON', () => Buffer.from('no JSON')],
  ['null', () => deflateRawSync('null')],
  ['a state of other types', version => deflateRawSync(JSON.stringify({ configuration: { version, routes: 'none', services: {}, limits: null }, targets: [null, 7], revision: 'x', version }))],
  ['a configuration alone, of other types', version => deflateRawSync(JSON.stringify({ version, routes: [null, { host: 7 }], services: [null], limits: null }))],
  ['limits of another type', version => deflateRawSync(JSON.stringify({ version, routes: [], services: [], limits: null, configuration: { version, routes: [], services: [], limits: null }, targets: [] }))],
  ['very deep nesting', () => deflateRawSync('['.repeat(500_000) + ']'.repeat(500_000))]
]

// Guards against odd state that spreads from one node to the others (issue 29).
test('while another node serves odd state, nodes serve requests and follow changes', async () => {
  await withCluster(async cluster => {
    const ip = cluster.getIp(otherNodeIndex)
    let createState = oddStates[0]?.[1] ?? (() => Buffer.alloc(0))
    let version = 1_000
    let reads = 0
    const server = createServer((request, response) => {
      const read = parseRead(request.url ?? '', request.rawHeaders)
      if (read !== undefined) reads++
      response.writeHead(200, read === undefined ? [] : formatReadAnswer(read)).end(createState(version))
    })
    await new Promise<void>(resolve => { server.listen(processPorts.nodes, ip, resolve) })
    const socket = createSocket('udp4')
    await new Promise<void>(resolve => { socket.bind(0, ip, resolve) })
    const target = { id: 'odd', service: 'odd', failureDomain: 'a', state: 'up' as const, fresh: true, running: 0, waiting: 0, limit: 1, slowness: 1, failures: 0, rateLimit: unlimited, rateAllowance: unlimited }
    const stamps = DatagramStamps.create({ random: Random.create(1) })
    for (const [name, create] of oddStates) {
      createState = create
      reads = 0
      version += 1_000
      for (let times = 0; times < 3; times++) {
        const report = encodeReport({ kind: 'full', target, configurationVersion: version })
        const datagram = Buffer.concat([stamps.stamp(report), report])
        for (const [index] of cluster.nodes.entries()) socket.send(datagram, processPorts.internal, cluster.getIp(index))
        await sleep(300)
      }
      assert.ok(reads > 0, `${name} was read`)
      assert.is(cluster.nodes.find(({ end }) => end !== undefined)?.output.slice(-600), undefined, name)
    }
    socket.close()
    server.close()
    server.closeAllConnections()
    await sleep(800)
    await assertWorks(cluster, 'after the states')
  })
})

test.run()
