import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const path = suite('tickets over HTTP')

interface TicketResponse { readonly status: number, readonly text: string, readonly verdict: string, readonly cause: string, readonly recorded: string, readonly ticket: string }

async function post (cluster: Cluster, node: number, urlPath: string, headers: Record<string, string> = {}, body = 'twelve boxes'): Promise<TicketResponse> {
  const answer = await request(`http://127.0.0.1:${cluster.nodes[node]?.callersPort ?? 0}/~orders${urlPath}`, { method: 'POST', headers, body })
  const header = (name: string): string => String(answer.headers[name] ?? '')
  return {
    status: answer.statusCode,
    text: await answer.body.text(),
    verdict: header('auburnturn-verdict'),
    cause: header('auburnturn-cause'),
    recorded: header('auburnturn-recorded'),
    ticket: header('auburnturn-ticket')
  }
}

async function fetchTicket (cluster: Cluster, node: number): Promise<string> {
  const response = await post(cluster, node, '/.well-known/auburnturn/ticket', {}, '')
  assert.is((JSON.parse(response.text) as { ticket: string }).ticket, response.ticket)
  return response.ticket
}

async function withCluster (size: number, test: (cluster: Cluster, executions: string[]) => Promise<void>): Promise<void> {
  const executions: string[] = []
  const cluster = await Cluster.create(size, index => (incoming, outgoing) => {
    incoming.resume().on('end', () => {
      executions.push(`${index} ${incoming.url ?? ''}`)
      setTimeout(() => { outgoing.writeHead(201, { 'x-order': String(executions.length) }).end(`order ${executions.length}`) }, 20)
    })
  })
  await test(cluster, executions).finally(async () => { await cluster.close() })
}

path('concurrent and later requests with one ticket through every node get the answer of one execution', async () => {
  await withCluster(3, async (cluster, executions) => {
    const headers = { 'auburnturn-ticket': await fetchTicket(cluster, 0) }
    const responses = await Promise.all([0, 1, 2, 1].map(async node => await post(cluster, node, '/new', headers)))
    responses.push(await post(cluster, 2, '/new', headers))
    assert.equal(responses.map(({ status, text }) => ({ status, text })), responses.map(() => ({ status: 201, text: 'order 1' })))
    assert.is(responses.filter(({ recorded }) => recorded === 'yes').length, 4)
    assert.is(executions.length, 1)
  })
})

path('a ticket of a target that no longer exists never runs on another target', async () => {
  await withCluster(2, async (cluster, executions) => {
    const headers = { 'auburnturn-ticket': (await fetchTicket(cluster, 0)).replace(/orders-\d/, 'orders-9') }
    const response = await post(cluster, 0, '/new', headers)
    assert.is(response.verdict, 'may-have-run')
    assert.is(response.cause, 'ticket-lost')
    assert.is(executions.length, 0)
  })
})

path('a ticket that is forged, malformed or sent with another path is refused as not run', async () => {
  await withCluster(2, async (cluster, executions) => {
    const ticket = await fetchTicket(cluster, 0)
    await post(cluster, 0, '/new', { 'auburnturn-ticket': ticket })
    const other = await post(cluster, 1, '/other', { 'auburnturn-ticket': ticket })
    const forged = await post(cluster, 1, '/new', { 'auburnturn-ticket': ticket.replace(/\.\d+\.([^.]+)$/, '.999.$1') })
    const garbled = await post(cluster, 1, '/new', { 'auburnturn-ticket': 'no ticket' })
    assert.equal([other, forged, garbled].map(({ verdict, cause }) => `${verdict} ${cause}`), ['not-run bad-request', 'not-run ticket-refused', 'not-run bad-request'])
    assert.is(executions.length, 1)
  })
})

path('after a refusal, every request with the ticket continues with the successor ticket', async () => {
  await withCluster(2, async (cluster, executions) => {
    const ticket = await fetchTicket(cluster, 0)
    const index = Number(/orders-(\d)/.exec(ticket)?.[1]) - 1
    cluster.nodes[index]?.drain()
    const responses = await Promise.all([0, 1, 0].map(async node => await post(cluster, node, '/new', { 'auburnturn-ticket': ticket })))
    assert.equal(responses.map(({ status, text }) => ({ status, text })), responses.map(() => ({ status: 201, text: 'order 1' })))
    assert.equal(executions, [`${1 - index} /new`])
  })
})

path('after a refusal by a target on another VM, the request continues with the successor ticket', async () => {
  await withCluster(3, async (cluster, executions) => {
    const ticket = await fetchTicket(cluster, 0)
    const index = Number(/orders-(\d)/.exec(ticket)?.[1]) - 1
    cluster.nodes[index]?.drain()
    const response = await post(cluster, (index + 1) % 3, '/new', { 'auburnturn-ticket': ticket })
    assert.is(`${response.status} ${response.text}`, '201 order 1')
    assert.is(executions.length, 1)
  })
})

path('without another target, a refusal is reported as not run and the ticket stays unused', async () => {
  await withCluster(1, async (cluster, executions) => {
    const ticket = await fetchTicket(cluster, 0)
    cluster.nodes[0]?.drain()
    const response = await post(cluster, 0, '/new', { 'auburnturn-ticket': ticket })
    assert.is(`${response.verdict} ${response.cause}`, 'not-run admission-closed')
    assert.is(executions.length, 0)
  })
})

path('when the answer exceeds the size limit of the profile, a repeated request gets ticket-lost', async () => {
  await withCluster(1, async (cluster, executions) => {
    cluster.publish({ key: 'profile/small', version: 1, text: '{ "tickets": { "answerBytes": 2 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "small" }' })
    const headers = { 'auburnturn-ticket': await fetchTicket(cluster, 0) }
    assert.is((await post(cluster, 0, '/new', headers)).text, 'order 1')
    assert.is((await post(cluster, 0, '/new', headers)).cause, 'ticket-lost')
    assert.is(executions.length, 1)
  })
})

path.run()
