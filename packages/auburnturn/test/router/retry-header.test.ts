import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const retryHeader = suite('retry header')

retryHeader('after a retry, the answer carries the header that stops callers from retrying, and a retry of a caller is not retried', async () => {
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
  const callerRetry = await request(`http://127.0.0.1:${cluster.nodes[0]?.callersPort ?? 0}/~orders/other`, { headers: { 'auburnturn-attempt': '1' } })
  await callerRetry.body.dump()
  assert.is(attempts.length, 3)
  await cluster.close()
})

retryHeader.run()
