import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const retryHeader = suite('retry header')

retryHeader('a refusal that was sent again below tells the layers above not to', async () => {
  const attempts: Array<string | undefined> = []
  const cluster = await Cluster.create(2, () => (incoming, response) => {
    attempts.push(incoming.headers['auburnturn-attempt'] as string | undefined)
    response.destroy()
  })
  const answer = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/`)
  await answer.body.dump()
  assert.is(answer.headers['auburnturn-verdict'], 'may-have-run')
  assert.is(answer.headers['auburnturn-retry'], 'no')
  assert.equal(attempts, ['0', '1'])
  const above = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/other`, { headers: { 'auburnturn-attempt': '1' } })
  await above.body.dump()
  assert.is(attempts.length, 3)
  await cluster.close()
})

retryHeader.run()
