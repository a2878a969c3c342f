import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const drain = suite('drain')

const chunks = 12
const chunkMs = 15

async function streamAnswer (response: { write: (text: string) => void, end: () => void }): Promise<void> {
  for (let count = 0; count < chunks; count++) {
    response.write(`part ${count};`)
    await sleep(chunkMs)
  }
  response.end()
}

const completeAnswer = Array.from({ length: chunks }, (_, count) => `part ${count};`).join('')

drain('a long streaming answer through another node completes while its target shuts down', async () => {
  const ran: number[] = []
  const cluster = await Cluster.create(2, index => (incoming, response) => {
    incoming.resume()
    ran.push(index)
    streamAnswer(response).catch(() => {})
  })
  cluster.publish({ key: 'profile/spread', version: 1, text: '{ "admission": { "localBelow": 0 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "spread" }' })
  const answers = await Promise.all(Array.from({ length: 8 }, async () => await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/long`, { method: 'POST' })))
  assert.equal([...new Set(ran)].sort(), [0, 1])
  const closing = cluster.nodes[1]?.close()
  const texts = await Promise.all(answers.map(async ({ body }) => await body.text()))
  assert.equal(texts, texts.map(() => completeAnswer))
  assert.is(ran.length, 8)
  await closing
  await cluster.close()
})

drain('calls queued at a draining target are refused there and run on another target', async () => {
  const ran: string[] = []
  const cluster = await Cluster.create(2, index => (incoming, response) => {
    incoming.resume()
    ran.push(`${index} ${incoming.url ?? ''}`)
    streamAnswer(response).catch(() => {})
  })
  cluster.publish({ key: 'profile/narrow', version: 1, text: '{ "admission": { "slots": 1, "localBelow": 1 }, "retry": { "share": 1 }, "timeouts": { "queueMs": 4000 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "narrow" }' })
  const port = cluster.nodes[1]?.peersPort ?? 0
  const first = request(`http://127.0.0.1:${port}/first`, { method: 'POST', headers: { 'auburnturn-service': 'orders' } })
  while (ran.length === 0) await sleep(1)
  const caller = `http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders`
  const second = request(`${caller}/second`, { method: 'POST' })
  while (ran.length === 1) await sleep(1)
  // The only slot of each target is taken, so these calls are queued at either target.
  const queued = Promise.all(['a', 'b', 'c', 'd'].map(async name => await (await request(`${caller}/${name}`, { method: 'POST' })).body.text()))
  await sleep(chunkMs)
  cluster.nodes[1]?.drain()?.catch(() => {})
  assert.equal(await queued, Array.from({ length: 4 }, () => completeAnswer))
  assert.is(await (await first).body.text(), completeAnswer)
  assert.is(await (await second).body.text(), completeAnswer)
  assert.equal(ran.filter(run => run.startsWith('1')), ['1 /first'])
  assert.is(new Set(ran).size, 6)
  await cluster.close()
})

drain.run()
