import type { Server, ServerResponse } from 'node:http'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const restarting = suite('restart of a part')

/** The private state of a supervised part that the tests read. */
interface SupervisedPart { readonly name: string, readonly run?: { readonly part: unknown } }

function wasRestarted (dump: Record<string, unknown>): boolean {
  const { operator } = dump.parts as { operator: { restarts: number, running: boolean } }
  return operator.running && operator.restarts === 1
}

restarting('a failed part is restarted, and a call in flight through other parts completes', async () => {
  let receiveRequest: (response: ServerResponse) => void = () => {}
  const pendingResponse = new Promise<ServerResponse>(resolve => { receiveRequest = resolve })
  const cluster = await Cluster.create(1, () => (_incoming, response) => { receiveRequest(response) })
  const node = cluster.nodes[0] as NonNullable<typeof cluster.nodes[0]>
  const slowRequest = request(`http://127.0.0.1:${node.callersPort}/~orders/slow`)
  const response = await pendingResponse

  const parts = (node as unknown as { supervisor: { parts: SupervisedPart[] } }).supervisor.parts
  const operator = parts.find(({ name }) => name === 'operator')?.run?.part as { server: Server }
  operator.server.close()
  operator.server.closeAllConnections()
  while (!wasRestarted(node.dump())) await new Promise(resolve => setTimeout(resolve, 10))
  const dump = await request(`http://127.0.0.1:${node.operatorPort}/dump/parts`)
  const { operator: state } = await dump.body.json() as { operator: { running: boolean, lastError: string } }
  assert.equal([state.running, state.lastError], [true, 'Error: the operator address was closed'])

  response.end('whole')
  const answer = await slowRequest
  assert.equal([answer.statusCode, await answer.body.text()], [200, 'whole'])
  await cluster.close()
})

restarting('errors while accepting connections stop neither a listener nor the node', async () => {
  const cluster = await Cluster.create(1, () => (_incoming, response) => { response.end('whole') })
  const node = cluster.nodes[0] as NonNullable<typeof cluster.nodes[0]>
  const parts = (node as unknown as { supervisor: { parts: SupervisedPart[] } }).supervisor.parts
  for (const name of ['callersListener', 'peersListener', 'control', 'operator']) {
    const { server } = parts.find(part => part.name === name)?.run?.part as { server: Server }
    for (let count = 0; count < 3; count++) server.emit('error', new Error('EMFILE'))
  }
  const answer = await request(`http://127.0.0.1:${node.callersPort}/~orders/`)
  assert.is(await answer.body.text(), 'whole')
  await cluster.close()
})

restarting.run()
