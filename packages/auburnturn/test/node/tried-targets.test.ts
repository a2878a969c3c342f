import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const triedTargets = suite('tried targets of a call')

async function readTriedTargets (port: number, headers: Record<string, string>): Promise<unknown> {
  const answer = await request(`http://127.0.0.1:${port}/~orders/`, { headers })
  await answer.body.dump()
  return answer.headers['auburnturn-way']
}

triedTargets('an answer lists the targets that were tried, only if the caller requests it', async () => {
  const cluster = await Cluster.create(2, () => (_request, response) => { response.end() })
  const port = cluster.nodes[0]?.callersPort ?? 0
  assert.is(await readTriedTargets(port, { 'auburnturn-way': 'wanted' }), 'orders-1')
  assert.is(await readTriedTargets(port, {}), undefined)
  await cluster.close()
})

triedTargets('a target that refused is listed with its cause', async () => {
  const cluster = await Cluster.create(2, index => (_request, response) => { response.end(String(index)) })
  cluster.publish({ key: 'profile/away', version: 1, text: '{ "admission": { "localBelow": 0 }, "retry": { "attempts": 3 }, "drain": { "newWorkMs": 50 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "away" }' })
  await cluster.nodes[1]?.drain()
  const headerValues = new Set<unknown>()
  for (let count = 0; count < 20; count++) headerValues.add(await readTriedTargets(cluster.nodes[0]?.callersPort ?? 0, { 'auburnturn-way': 'wanted' }))
  assert.ok(headerValues.has('orders-1'))
  assert.ok([...headerValues].every(value => value === 'orders-1' || value === 'orders-2 (not-run, admission-closed), orders-1'), [...headerValues].join('; '))
  await cluster.close()
})

triedTargets('a refusal lists the targets that were tried before it', async () => {
  const cluster = await Cluster.create(1, () => (_request, response) => { response.destroy() })
  const value = await readTriedTargets(cluster.nodes[0]?.callersPort ?? 0, { 'auburnturn-way': 'wanted' })
  assert.match(String(value), /^orders-1 \(may-have-run, connection-lost\)/)
  await cluster.close()
})

triedTargets.run()
