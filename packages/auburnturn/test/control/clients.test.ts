import { createServer } from 'node:http2'
import type { ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlClients, ControlServer } from '../../src/index.js'
import { deferAbort } from '../../src/core/control/defer-abort.js'
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
    const client = control.getClient(Tickets, { ip, controlPort: server.port })
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

clients('a message is given up in the turn after its signal, never within the callback that aborts it', async () => {
  const gone = new AbortController()
  const later = deferAbort(gone.signal)
  gone.abort('over')
  await Promise.resolve()
  assert.not.ok(later.aborted)
  await nextTurn()
  assert.ok(later.aborted)
  assert.is(later.reason, 'over')
  assert.ok(deferAbort(gone.signal).aborted)
})

clients('messages that are given up while the peer ends its connection end, and the process goes on', async () => {
  // Holds every request, and ends the connection without having taken the later ones.
  const server = createServer()
  const sessions: ServerHttp2Session[] = []
  server.on('session', session => { sessions.push(session) })
  let held = 0
  server.on('stream', stream => {
    stream.on('error', () => {})
    held++
  })
  await new Promise<void>(resolve => { server.listen(0, ip, resolve) })
  const { port } = server.address() as AddressInfo
  const control = ControlClients.create()
  const client = control.getClient(Tickets, { ip, controlPort: port })
  const gone = new AbortController()
  const messages = Array.from({ length: 6 }, async () => {
    try {
      await client.issue({ service: 'orders' }, { timeoutMs: 5_000, signal: gone.signal })
    } catch {
      // The first that fails gives up all others, as a part that closes does.
      gone.abort()
    }
  })
  while (held < messages.length) await nextTurn()
  for (const session of sessions) session.goaway(0, 1)
  await Promise.all(messages)
  await control.close()
  for (const session of sessions) session.destroy()
  server.close()
})

clients.run()
