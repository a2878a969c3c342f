import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const draining = suite('drain')

draining('a draining node refuses new calls as not run and completes calls in flight', async () => {
  let receiveSlowRequest: (response: ServerResponse) => void = () => {}
  const slowResponse = new Promise<ServerResponse>(resolve => { receiveSlowRequest = resolve })
  const cluster = await Cluster.create(1, () => (incoming, response) => {
    if (incoming.url === '/slow') receiveSlowRequest(response)
    else response.end('at once')
  })
  cluster.publish({ key: 'profile/quick', version: 1, text: '{ "drain": { "newWorkMs": 50 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "quick" }' })
  const node = cluster.nodes[0]
  const origin = `http://127.0.0.1:${node?.callersPort ?? 0}/~orders`
  const slowRequest = request(`${origin}/slow`)
  const response = await slowResponse

  const drained = node?.drain()
  const refused = await request(`${origin}/new`)
  assert.is(refused.statusCode, 503)
  assert.is(refused.headers['auburnturn-verdict'], 'not-run')
  await refused.body.dump()
  const health = await request(`http://127.0.0.1:${node?.operatorPort ?? 0}/health`)
  assert.equal([health.statusCode, await health.body.text()], [503, 'draining\n'])

  response.end('whole')
  const answer = await slowRequest
  assert.is(await answer.body.text(), 'whole')
  await drained
  await cluster.close()
})

draining('close waits for calls in flight', async () => {
  let receiveRequest: (response: ServerResponse) => void = () => {}
  const pendingResponse = new Promise<ServerResponse>(resolve => { receiveRequest = resolve })
  const cluster = await Cluster.create(1, () => (_incoming, response) => { receiveRequest(response) })
  const slowRequest = request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/slow`)
  const response = await pendingResponse
  let closed = false
  const closing = cluster.nodes[0]?.close().then(() => { closed = true })
  await new Promise(resolve => setImmediate(resolve))
  assert.not.ok(closed)
  response.end('whole')
  await once(response, 'finish')
  assert.is(await (await slowRequest).body.text(), 'whole')
  await closing
  await cluster.close()
})

draining.run()
