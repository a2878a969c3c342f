import type { Server, ServerResponse } from 'node:http'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const restarting = suite('restart of a part')

interface PartOfNode { readonly name: string, readonly run?: { readonly part: unknown } }

function wasRestarted (dump: Record<string, unknown>): boolean {
  const { operator } = dump.parts as { operator: { restarts: number, running: boolean } }
  return operator.running && operator.restarts === 1
}

restarting('a part that fails is started again, and a call in flight elsewhere is not hurt', async () => {
  let hold: (response: ServerResponse) => void = () => {}
  const held = new Promise<ServerResponse>(resolve => { hold = resolve })
  const cluster = await Cluster.create(1, () => (_incoming, response) => { hold(response) })
  const node = cluster.nodes[0] as NonNullable<typeof cluster.nodes[0]>
  const slow = request(`http://127.0.0.1:${node.callersPort}/~orders/slow`)
  const response = await held

  const parts = (node as unknown as { supervisor: { parts: PartOfNode[] } }).supervisor.parts
  const operator = parts.find(({ name }) => name === 'operator')?.run?.part as { server: Server }
  operator.server.close()
  operator.server.closeAllConnections()
  while (!wasRestarted(node.dump())) await new Promise(resolve => setTimeout(resolve, 10))
  const dump = await request(`http://127.0.0.1:${node.operatorPort}/dump/parts`)
  const { operator: state } = await dump.body.json() as { operator: { running: boolean, lastError: string } }
  assert.equal([state.running, state.lastError], [true, 'Error: the operator address was closed'])

  response.end('whole')
  const answer = await slow
  assert.equal([answer.statusCode, await answer.body.text()], [200, 'whole'])
  await cluster.close()
})

restarting.run()
