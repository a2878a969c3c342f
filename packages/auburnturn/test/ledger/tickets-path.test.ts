import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const path = suite('tickets over HTTP')

interface Told { readonly status: number, readonly text: string, readonly verdict: string, readonly cause: string, readonly recorded: string, readonly ticket: string }

async function post (cluster: Cluster, node: number, urlPath: string, headers: Record<string, string> = {}, body = 'twelve boxes'): Promise<Told> {
  const answer = await request(`http://127.0.0.1:${cluster.nodes[node]?.callersPort ?? 0}/~orders${urlPath}`, { method: 'POST', headers, body })
  const word = (name: string): string => String(answer.headers[name] ?? '')
  return {
    status: answer.statusCode,
    text: await answer.body.text(),
    verdict: word('auburnturn-verdict'),
    cause: word('auburnturn-cause'),
    recorded: word('auburnturn-recorded'),
    ticket: word('auburnturn-ticket')
  }
}

async function fetchTicket (cluster: Cluster, node: number): Promise<string> {
  const told = await post(cluster, node, '/.well-known/auburnturn/ticket', {}, '')
  assert.is((JSON.parse(told.text) as { ticket: string }).ticket, told.ticket)
  return told.ticket
}

async function withCluster (size: number, test: (cluster: Cluster, ran: string[]) => Promise<void>): Promise<void> {
  const ran: string[] = []
  const cluster = await Cluster.create(size, index => (incoming, response) => {
    incoming.resume().on('end', () => {
      ran.push(`${index} ${incoming.url ?? ''}`)
      setTimeout(() => { response.writeHead(201, { 'x-order': String(ran.length) }).end(`order ${ran.length}`) }, 20)
    })
  })
  await test(cluster, ran).finally(async () => { await cluster.close() })
}

path('resends through every node, at once and later, get the one answer', async () => {
  await withCluster(3, async (cluster, ran) => {
    const headers = { 'auburnturn-ticket': await fetchTicket(cluster, 0) }
    const told = await Promise.all([0, 1, 2, 1].map(async node => await post(cluster, node, '/new', headers)))
    told.push(await post(cluster, 2, '/new', headers))
    assert.equal(told.map(({ status, text }) => ({ status, text })), told.map(() => ({ status: 201, text: 'order 1' })))
    assert.is(told.filter(({ recorded }) => recorded === 'yes').length, 4)
    assert.is(ran.length, 1)
  })
})

path('a ticket of a target that is gone is never run elsewhere', async () => {
  await withCluster(2, async (cluster, ran) => {
    const headers = { 'auburnturn-ticket': (await fetchTicket(cluster, 0)).replace(/orders-\d/, 'orders-9') }
    const told = await post(cluster, 0, '/new', headers)
    assert.is(told.verdict, 'may-have-run')
    assert.is(told.cause, 'ticket-lost')
    assert.is(ran.length, 0)
  })
})

path('a ticket sent with another path or forged is refused as not run', async () => {
  await withCluster(2, async (cluster, ran) => {
    const ticket = await fetchTicket(cluster, 0)
    await post(cluster, 0, '/new', { 'auburnturn-ticket': ticket })
    const other = await post(cluster, 1, '/other', { 'auburnturn-ticket': ticket })
    const forged = await post(cluster, 1, '/new', { 'auburnturn-ticket': ticket.replace(/\.\d+\.([^.]+)$/, '.999.$1') })
    const garbled = await post(cluster, 1, '/new', { 'auburnturn-ticket': 'no ticket' })
    assert.equal([other, forged, garbled].map(({ verdict, cause }) => `${verdict} ${cause}`), ['not-run bad-request', 'not-run ticket-refused', 'not-run bad-request'])
    assert.is(ran.length, 1)
  })
})

path('a refusal is followed to its successor by every sending', async () => {
  await withCluster(2, async (cluster, ran) => {
    const ticket = await fetchTicket(cluster, 0)
    const index = Number(/orders-(\d)/.exec(ticket)?.[1]) - 1
    cluster.nodes[index]?.drain()
    const told = await Promise.all([0, 1, 0].map(async node => await post(cluster, node, '/new', { 'auburnturn-ticket': ticket })))
    assert.equal(told.map(({ status, text }) => ({ status, text })), told.map(() => ({ status: 201, text: 'order 1' })))
    assert.equal(ran, [`${1 - index} /new`])
  })
})

path('a refusal by a distant target is followed to its successor', async () => {
  await withCluster(3, async (cluster, ran) => {
    const ticket = await fetchTicket(cluster, 0)
    const index = Number(/orders-(\d)/.exec(ticket)?.[1]) - 1
    cluster.nodes[index]?.drain()
    const told = await post(cluster, (index + 1) % 3, '/new', { 'auburnturn-ticket': ticket })
    assert.is(`${told.status} ${told.text}`, '201 order 1')
    assert.is(ran.length, 1)
  })
})

path('without another target a refused ticket stays usable and says so truthfully', async () => {
  await withCluster(1, async (cluster, ran) => {
    const ticket = await fetchTicket(cluster, 0)
    cluster.nodes[0]?.drain()
    const told = await post(cluster, 0, '/new', { 'auburnturn-ticket': ticket })
    assert.is(`${told.verdict} ${told.cause}`, 'not-run admission-closed')
    assert.is(ran.length, 0)
  })
})

path('an answer larger than the profile keeps is told as may have run', async () => {
  await withCluster(1, async (cluster, ran) => {
    cluster.publish({ key: 'profile/small', version: 1, text: '{ "tickets": { "answerBytes": 2 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "small" }' })
    const headers = { 'auburnturn-ticket': await fetchTicket(cluster, 0) }
    assert.is((await post(cluster, 0, '/new', headers)).text, 'order 1')
    assert.is((await post(cluster, 0, '/new', headers)).cause, 'ticket-lost')
    assert.is(ran.length, 1)
  })
})

path.run()
