import { Clock, ManualClock } from 'auburnturn/core/clock'
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BodyMemory, ConnectionPool, exchange } from '../src/core/exchange/index.js'
import type { ExchangeOptions, ExchangeResult } from '../src/core/exchange/index.js'
import { startRawServer } from './fixtures/raw-server.js'

const test = suite('exchange')

/** Memory for bodies where a test does not name less. */
const testMemoryBytes = 64 * 1024 * 1024

/** Sends one request to a server that answers with `answer`. */
async function send (answer: (socket: Socket) => void, options: Partial<ExchangeOptions> = {}): Promise<ExchangeResult> {
  const server = await startRawServer(answer)
  const connections = ConnectionPool.create({ address: server.address, limit: 1, clock: Clock.create(), memory: BodyMemory.create({ maxBytes: testMemoryBytes }) })
  const reply = await exchange({
    connections,
    clock: Clock.create(),
    method: 'GET',
    path: '/',
    headers: ['host', 'example'],
    body: Buffer.alloc(0),
    connectMs: 2_000,
    timeoutMs: 5_000,
    ...options
  })
  connections.close()
  server.close()
  return reply
}

test('an answer without length that ends with its connection is whole', async () => {
  const reply = await send(socket => { socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole') })
  assert.is(reply.kind === 'answer' ? reply.body.toString() : reply.kind, 'whole')
})

test('an answer without length that ends with a reset is cut', async () => {
  const reply = await send(socket => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => { setImmediate(() => { socket.resetAndDestroy() }) })
  })
  assert.equal(reply, { kind: 'lost', cause: 'cut' })
})

test('an answer shorter than its length is cut', async () => {
  const reply = await send(socket => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf') })
  assert.equal(reply, { kind: 'lost', cause: 'cut' })
})

test('bytes that are no answer are invalid', async () => {
  const reply = await send(socket => { socket.end('rubbish\r\n\r\n') })
  assert.equal(reply, { kind: 'lost', cause: 'invalid' })
})

test('an answer that belongs to another request is invalid, and its connection ends', async () => {
  let closed = false
  const reply = await send(socket => {
    socket.once('close', () => { closed = true })
    socket.write('HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nok')
  }, { matchesRequest: () => false })
  assert.equal(reply, { kind: 'lost', cause: 'invalid' })
  await new Promise(resolve => setTimeout(resolve, 50))
  assert.ok(closed)
})

test('where nobody listens nothing was sent', async () => {
  const server = await startRawServer(() => {})
  server.close()
  const connections = ConnectionPool.create({ address: server.address, limit: 1, clock: Clock.create(), memory: BodyMemory.create({ maxBytes: testMemoryBytes }) })
  const reply = await exchange({ connections, clock: Clock.create(), method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0), connectMs: 2_000, timeoutMs: 5_000 })
  assert.equal(reply, { kind: 'unsent', cause: 'connect-failed' })
  connections.close()
})

test('a connection that was idle for long can be left before a request that must not be repeated', async () => {
  const clock = ManualClock.create()
  const used: Socket[] = []
  const server = await startRawServer(socket => {
    used.push(socket)
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
  })
  const connections = ConnectionPool.create({ address: server.address, limit: 4, clock, memory: BodyMemory.create({ maxBytes: testMemoryBytes }) })
  const ask = async (): Promise<void> => {
    connections.closeIdleLongerThan(150)
    await exchange({ connections, clock, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), connectMs: 2_000, timeoutMs: 5_000 })
    await new Promise(resolve => setImmediate(resolve))
  }
  await ask()
  clock.jump(100)
  await ask()
  clock.jump(200)
  await ask()
  connections.close()
  server.close()
  assert.is(used[1], used[0])
  assert.is.not(used[2], used[1])
})

test.run()
