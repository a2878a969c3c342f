import { setImmediate as nextTurn } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlClients, ControlServer } from '../../src/index.js'
import { Tickets } from '../../src/core/control/index.js'

const clients = suite('control clients')

const ip = '127.0.0.1'
/** Turns of the event loop between the closing and the next message. */
const turns = 8
const rounds = 5 * turns

clients('a peer that closes while messages are being sent fails the messages, not the process', async () => {
  const uncaught: unknown[] = []
  const note = (error: unknown): void => { uncaught.push(error) }
  process.on('uncaughtException', note)
  const control = ControlClients.create()
  for (let round = 0; round < rounds; round++) {
    const server = await ControlServer.create({ ip, port: 0, routes: [router => { router.service(Tickets, { issue: () => ({ ticket: 'one' }) }) }] })
    const client = control.clientOf(Tickets, { ip, controlPort: server.port })
    assert.is((await client.issue({ service: 'orders' })).ticket, 'one')
    const closing = server.close()
    for (let turn = 0; turn < round % turns; turn++) await nextTurn()
    client.issue({ service: 'orders' }, { timeoutMs: 100 }).catch(() => {})
    await closing
    await client.issue({ service: 'orders' }, { timeoutMs: 100 }).catch(() => {})
  }
  await control.close()
  await nextTurn()
  process.off('uncaughtException', note)
  assert.equal(uncaught.map(String), [])
})

clients.run()
