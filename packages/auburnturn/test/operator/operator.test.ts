import { request as rawRequest } from 'node:http'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'
import { parsePrometheus } from '../fixtures/prometheus.js'

const operator = suite('operator')

const secrets = ['s3cret-cookie', 's3cret-bearer', 's3cret-query', 's3cret-body', 's3cret-ticket', 's3cret-key', 's3cret-answer', 's3cret-set']

async function fetchText (port: number, path: string): Promise<{ status: number, text: string }> {
  const answer = await request(`http://127.0.0.1:${port}${path}`)
  return { status: answer.statusCode, text: await answer.body.text() }
}

operator('dump and metrics contain no data that callers and upstreams sent', async () => {
  const cluster = await Cluster.create(2, () => (_incoming, response) => {
    response.setHeader('set-cookie', 's3cret-set')
    response.end('s3cret-answer')
  })
  const [node] = cluster.nodes
  for (const method of ['GET', 'POST'] as const) {
    for (const ticket of [{}, { 'auburnturn-ticket': 's3cret-ticket' }]) {
      const answer = await request(`http://127.0.0.1:${node?.callersPort ?? 0}/~orders/list?token=s3cret-query`, {
        method,
        headers: { cookie: 's3cret-cookie', authorization: 'Bearer s3cret-bearer', 'idempotency-key': 's3cret-key', ...ticket },
        body: method === 'POST' ? 's3cret-body' : null
      })
      await answer.body.dump()
    }
  }
  for (const { operatorPort } of cluster.nodes) {
    const text = (await fetchText(operatorPort, '/dump')).text + (await fetchText(operatorPort, '/metrics')).text
    for (const secret of secrets) assert.not.ok(text.includes(secret), secret)
  }
  await cluster.close()
})

operator('the dump contains every part, and a single part can be requested', async () => {
  const cluster = await Cluster.create(1, () => (_incoming, response) => { response.end() })
  const port = cluster.nodes[0]?.operatorPort ?? 0
  const dump = JSON.parse((await fetchText(port, '/dump')).text) as { parts: Record<string, { running: boolean, restarts: number }> }
  assert.ok(Object.keys(dump.parts).length >= 8)
  for (const [name, part] of Object.entries(dump.parts)) assert.equal([part.running, part.restarts], [true, 0], name)
  assert.is(JSON.parse((await fetchText(port, '/dump/node')).text).state, 'serving')
  const unknown = await fetchText(port, '/dump/nothing')
  assert.is(unknown.status, 404)
  assert.match(unknown.text, /^Known parts: .*admission/)
  await cluster.close()
})

operator('the metrics of a node are valid Prometheus text and count its calls', async () => {
  const cluster = await Cluster.create(1, () => (_incoming, response) => { response.end('whole') })
  const [node] = cluster.nodes
  const answer = await request(`http://127.0.0.1:${node?.callersPort ?? 0}/~orders/`)
  await answer.body.dump()
  const { types, samples } = parsePrometheus((await fetchText(node?.operatorPort ?? 0, '/metrics')).text)
  const value = (name: string): number | undefined => samples.find(sample => sample.name === name)?.value
  assert.is(value('auburnturn_calls_total'), 1)
  assert.is(value('auburnturn_attempts_total'), 1)
  assert.is(value('auburnturn_call_added_seconds_count'), 1)
  assert.is(value('auburnturn_in_flight'), 0)
  assert.is(types.get('auburnturn_call_queue_seconds'), 'summary')
  await cluster.close()
})

operator('only GET is allowed, and only with an IP address as host', async () => {
  const cluster = await Cluster.create(1, () => (_incoming, response) => { response.end() })
  const port = cluster.nodes[0]?.operatorPort ?? 0
  assert.is((await request(`http://127.0.0.1:${port}/dump`, { method: 'POST' })).statusCode, 405)
  const status = await new Promise(resolve => {
    rawRequest({ port, host: '127.0.0.1', path: '/dump', headers: { host: 'evil.example' } }, answer => { resolve(answer.resume().statusCode) }).end()
  })
  assert.is(status, 403)
  await cluster.close()
})

operator.run()
