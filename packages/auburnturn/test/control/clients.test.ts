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
/** Number of different delays, in turns of the event loop, between the start of closing and the next message. */
const turns = 8
const rounds = 5 * turns

clients('a peer that closes while messages are sent makes the messages fail, not the process', async () => {
  const uncaught: unknown[] = []
  const recordError = (error: unknown): void => { uncaught.push(error) }
  process.on('uncaughtException', recordError)
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
  process.off('uncaughtException', recordError)
  assert.equal(uncaught.map(String), [])
})

clients('a message is aborted in the turn after its signal, never within the callback that aborts the signal', async () => {
  const abortController = new AbortController()
  const deferred = deferAbort(abortController.signal)
  abortController.abort('over')
  await Promise.resolve()
  assert.not.ok(deferred.aborted)
  await nextTurn()
  assert.ok(deferred.aborted)
  assert.is(deferred.reason, 'over')
  assert.ok(deferAbort(abortController.signal).aborted)
})

clients('messages that are aborted while the peer closes its connection end, and the process continues', async () => {
  // The server leaves every request open, then closes the connection and reports the later ones as not processed.
  const server = createServer()
  const sessions: ServerHttp2Session[] = []
  server.on('session', session => { sessions.push(session) })
  let openRequests = 0
  server.on('stream', stream => {
    stream.on('error', () => {})
    openRequests++
  })
  await new Promise<void>(resolve => { server.listen(0, ip, resolve) })
  const { port } = server.address() as AddressInfo
  const control = ControlClients.create()
  const client = control.getClient(Tickets, { ip, controlPort: port })
  const abortController = new AbortController()
  const messages = Array.from({ length: 6 }, async () => {
    try {
      await client.issue({ service: 'orders' }, { timeoutMs: 5_000, signal: abortController.signal })
    } catch {
      // The first message that fails aborts all others, as a component that is closing does.
      abortController.abort()
    }
  })
  while (openRequests < messages.length) await nextTurn()
  for (const session of sessions) session.goaway(0, 1)
  await Promise.all(messages)
  await control.close()
  for (const session of sessions) session.destroy()
  server.close()
})

clients.run()
