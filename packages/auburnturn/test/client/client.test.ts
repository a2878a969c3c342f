import { createServer } from 'node:http'
import type { RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Client, isFault, Logger, Random } from '../../src/index.js'
import { Cluster } from '../fixtures/cluster.js'

const embedded = suite('client')
const ip = '127.0.0.1'

/** Starts a cluster of `size` targets, a platform that lists them, and a client that has read from this platform. */
async function setUp (size: number, createUpstream: (index: number) => RequestListener, profile = '{}'): Promise<{ client: Client, close: () => Promise<void> }> {
  const cluster = await Cluster.create(size, createUpstream)
  const members = cluster.nodes.map((node, index) => ({
    id: `orders-${index + 1}`, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip, peerPort: node.peersPort, controlPort: node.controlPort, state: 'live'
  }))
  const entries = [{ key: 'profile/p', version: 1, text: profile }, { key: 'service/orders', version: 2, text: '{ "profile": "p" }' }]
  cluster.publish(...entries)
  const platform = createServer((request, response) => {
    const after = Number(new URL(request.url ?? '/', 'http://p').searchParams.get('after'))
    const page = request.url?.startsWith('/v1/members') === true
      ? { revision: 2, lists: [{ service: 'orders', version: 1, members }] }
      : { revision: 2, entries }
    if (after < 2) response.end(JSON.stringify(page)) // otherwise leaves the watch open
  })
  await new Promise<void>(resolve => { platform.listen(0, ip, resolve) })
  const client = await Client.create({ platform: [{ ip, port: (platform.address() as AddressInfo).port }], caller: 'shop', logger: Logger.createSilent(), random: Random.create(1) })
  const close = async (): Promise<void> => {
    await client.close()
    await cluster.close()
    platform.closeAllConnections()
    platform.close()
  }
  return { client, close }
}

embedded('a call goes directly to a target and returns the complete answer', async () => {
  const { client, close } = await setUp(1, () => (request, response) => {
    response.setHeader('x-seen', `${request.method ?? ''} ${request.url ?? ''} ${String(request.headers['x-mine'])} ${String(request.headers['content-length'])}`)
    request.pipe(response)
  })
  const result = await client.call({ service: 'orders', path: '/a?b=1', method: 'PUT', headers: { 'X-Mine': 'yes', 'content-length': '99' }, body: 'whole' })
  assert.is(result.verdict, 'done')
  if (result.verdict === 'done') {
    assert.equal([result.status, Buffer.from(result.body).toString(), result.headers['x-seen']], [200, 'whole', 'PUT /a?b=1 yes 5'])
  }
  await close()
})

embedded('a truncated answer is reported as may-have-run', async () => {
  const { client, close } = await setUp(1, () => (_request, response) => {
    response.writeHead(200, { 'content-length': '100' })
    response.write('half')
    setImmediate(() => { response.destroy() })
  })
  const result = await client.call({ service: 'orders', path: '/', method: 'POST', body: 'x' })
  assert.is(result.verdict, 'may-have-run')
  await close()
})

embedded('a refused call is retried at another target', async () => {
  const { client, close } = await setUp(2, index => (_request, response) => { response.end(String(index)) }, '{ "retry": { "attempts": 3 } }')
  const bodies = new Set<string>()
  for (let count = 0; count < 20; count++) {
    const result = await client.call({ service: 'orders', path: '/' })
    if (result.verdict === 'done') bodies.add(Buffer.from(result.body).toString())
  }
  assert.equal([...bodies].sort(), ['0', '1'])
  await close()
})

embedded('a request that cannot be written as HTTP is refused before it is sent', async () => {
  const { client, close } = await setUp(1, () => (_request, response) => { response.end() })
  for (const request of [{ path: 'no-slash' }, { path: '/a b' }, { path: '/\r\nx: y' }, { path: '/', method: 'GET /' }, { path: '/', headers: { 'x-a': 'b\r\nc: d' } }]) {
    assert.equal(await client.call({ service: 'orders', ...request }), { verdict: 'not-run', cause: 'bad-request' })
  }
  await close()
})

embedded('a call ends when its caller aborts it', async () => {
  const { client, close } = await setUp(1, () => () => {})
  const controller = new AbortController()
  const result = client.call({ service: 'orders', path: '/', method: 'POST', signal: controller.signal })
  setTimeout(() => { controller.abort() }, 20)
  assert.is((await result).verdict, 'may-have-run')
  assert.equal(await client.call({ service: 'orders', path: '/', signal: controller.signal }), { verdict: 'not-run', cause: 'caller-gone' })
  await close()
})

embedded('a client does not start while the platform is unreachable', async () => {
  try {
    await Client.create({ platform: [{ ip, port: 1 }], caller: 'shop', logger: Logger.createSilent() })
    assert.unreachable()
  } catch (error) {
    assert.ok(isFault(error) && error.tag === 'platform-unreachable')
  }
})

embedded.run()
