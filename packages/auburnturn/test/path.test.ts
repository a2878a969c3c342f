import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from './fixtures/cluster.js'

const callPath = suite('call path')

callPath('a call reaches the upstream on the VM of the node and returns its answer', async () => {
  const cluster = await Cluster.create(1, () => (incoming, response) => { response.end(`got ${incoming.url ?? ''}`) })
  const answer = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/list?page=2`)
  assert.is(answer.statusCode, 200)
  assert.is(await answer.body.text(), 'got /list?page=2')
  await cluster.close()
})

callPath('a call that is refused on its own VM runs at another node', async () => {
  const cluster = await Cluster.create(2, index => (_incoming, response) => { response.end(`upstream ${index}`) })
  cluster.publish({ key: 'profile/busy', version: 1, text: '{ "admission": { "localBelow": 0 }, "retry": { "attempts": 3 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "busy" }' })
  const bodies = new Set<string>()
  for (let count = 0; count < 20; count++) {
    const answer = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/`)
    bodies.add(await answer.body.text())
  }
  assert.equal([...bodies].sort(), ['upstream 0', 'upstream 1'])
  await cluster.close()
})

callPath('an unknown service is refused as not run', async () => {
  const cluster = await Cluster.create(1, () => (_incoming, response) => { response.end() })
  const answer = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~nowhere/`)
  assert.is(answer.statusCode, 404)
  assert.is(answer.headers['auburnturn-verdict'], 'not-run')
  await answer.body.dump()
  await cluster.close()
})

callPath.run()
