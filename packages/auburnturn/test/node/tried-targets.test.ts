import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const ways = suite('way of a call')

async function readWay (port: number, headers: Record<string, string>): Promise<unknown> {
  const answer = await request(`http://127.0.0.1:${port}/~orders/`, { headers })
  await answer.body.dump()
  return answer.headers['auburnturn-way']
}

ways('an answer names the targets that were tried, only to a caller that asks', async () => {
  const cluster = await Cluster.create(2, () => (_request, response) => { response.end() })
  const port = cluster.nodes[0]?.callersPort ?? 0
  assert.is(await readWay(port, { 'auburnturn-way': 'wanted' }), 'orders-1')
  assert.is(await readWay(port, {}), undefined)
  await cluster.close()
})

ways('a target that refused stands in the way with its cause', async () => {
  const cluster = await Cluster.create(2, index => (_request, response) => { response.end(String(index)) })
  cluster.publish({ key: 'profile/away', version: 1, text: '{ "admission": { "localBelow": 0 }, "retry": { "attempts": 3 }, "drain": { "newWorkMs": 50 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "away" }' })
  await cluster.nodes[1]?.drain()
  const seen = new Set<unknown>()
  for (let count = 0; count < 20; count++) seen.add(await readWay(cluster.nodes[0]?.callersPort ?? 0, { 'auburnturn-way': 'wanted' }))
  assert.ok(seen.has('orders-1'))
  assert.ok([...seen].every(way => way === 'orders-1' || way === 'orders-2 (not-run, admission-closed), orders-1'), [...seen].join('; '))
  await cluster.close()
})

ways('a refusal names what was tried before it', async () => {
  const cluster = await Cluster.create(1, () => (_request, response) => { response.destroy() })
  const way = await readWay(cluster.nodes[0]?.callersPort ?? 0, { 'auburnturn-way': 'wanted' })
  assert.match(String(way), /^orders-1 \(may-have-run, connection-lost\)/)
  await cluster.close()
})

ways.run()
