import type { ServerResponse } from 'node:http'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const atomicSwitch = suite('atomic switch')

atomicSwitch('a call in flight keeps the profile that it started with, and the next call uses the new one', async () => {
  const pendingResponses: ServerResponse[] = []
  const cluster = await Cluster.create(1, () => (_incoming, response) => { pendingResponses.push(response) })
  cluster.publish({ key: 'service/orders', version: 1, text: '{ "profile": "calm" }' }, { key: 'profile/calm', version: 2, text: '{}' })
  const url = `http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/`
  const first = request(url)
  while (pendingResponses.length === 0) await new Promise(resolve => setTimeout(resolve, 1))
  cluster.publish({ key: 'profile/calm', version: 3, text: '{ "timeouts": { "callMs": 30 } }' })
  const second = await request(url)
  await second.body.dump()
  assert.is.not(second.statusCode, 200, 'the new profile times out after 30 ms')
  assert.is(second.headers['auburnturn-verdict'], 'may-have-run')
  for (const response of pendingResponses) response.end('whole')
  const answer = await first
  assert.is(answer.statusCode, 200)
  assert.is(await answer.body.text(), 'whole')
  await cluster.close()
})

atomicSwitch.run()
