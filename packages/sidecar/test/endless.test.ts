import { Clock } from 'auburnturn/core/clock'
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BodyMemory, ConnectionPool, exchange } from '../src/core/exchange/index.js'
import type { ExchangeResult } from '../src/core/exchange/index.js'
import { startRawServer } from './fixtures/raw-server.js'

const test = suite('endless bytes')

const megabyte = 1024 * 1024

/** Memory for all bodies together. */
const maxBytes = 8 * megabyte

/** Exchanges under way at a time. */
const exchanges = 12

/** How long an exchange may take; what has no end is broken off long before, or then. */
const timeoutMs = 1_500

/** Writes `piece` until the connection is closed. */
function writeForever (socket: Socket, piece: string | Buffer): void {
  const write = (): void => {
    if (socket.destroyed) return
    if (socket.write(piece)) setImmediate(write)
    else socket.once('drain', write)
  }
  write()
}

const line = `x-noise: ${'n'.repeat(500)}\r\n`
const body = Buffer.alloc(64 * 1024, 'b')

/** What a server in trouble sends, and what has to come of it. */
const invalidStreams: ReadonlyArray<readonly [string, string, string | Buffer]> = [
  ['a head without end', 'HTTP/1.1 200 OK\r\n', line],
  ['a line without end', 'HTTP/1.1 200 OK\r\nx-noise: ', 'n'.repeat(4_096)],
  ['a status line without end', 'HTTP/1.1 200 ', 'O'.repeat(4_096)],
  ['noise before the status line', '', 'noise '.repeat(500)],
  ['interim answers without end', '', 'HTTP/1.1 103 Early Hints\r\nx-hint: 1\r\n\r\n'],
  ['a body without length and without end', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', body],
  ['a body of a length that never comes to its end', 'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n', body],
  ['chunks without end', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', Buffer.concat([Buffer.from('10000\r\n'), body, Buffer.from('\r\n')])],
  ['a chunk extension without end', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;', 'e'.repeat(4_096)],
  ['trailers without end', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', line]
]

/** Exchanges with a server that sends the attack, but a whole answer to `/good`. */
async function runExchanges (head: string, piece: string | Buffer): Promise<{ readonly replies: readonly ExchangeResult[], readonly good: readonly ExchangeResult[], readonly peakBytes: number }> {
  const server = await startRawServer((socket, request) => {
    const good = request.startsWith('GET /good')
    socket.write(good ? 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok' : head)
    if (!good) writeForever(socket, piece)
  })
  const clock = Clock.create()
  const memory = BodyMemory.create({ maxBytes })
  const connections = ConnectionPool.create({ address: server.address, limit: exchanges + 1, clock, memory })
  let peakBytes = 0
  const watch = setInterval(() => { peakBytes = Math.max(peakBytes, memory.bufferedBytes) }, 1)
  const send = async (path: string): Promise<ExchangeResult> => await exchange({ connections, clock, method: 'GET', path, headers: ['host', 'example'], body: Buffer.alloc(0), connectMs: timeoutMs, timeoutMs })
  const good: ExchangeResult[] = []
  const attackers = { over: false }
  const others = (async () => { while (!attackers.over) good.push(await send('/good')) })()
  const replies = await Promise.all(Array.from({ length: exchanges }, async () => await send('/bad')))
  attackers.over = true
  await others
  clearInterval(watch)
  connections.close()
  server.close()
  assert.is(memory.bufferedBytes, 0)
  return { replies, good, peakBytes }
}

for (const [name, head, piece] of invalidStreams) {
  test(`${name} is broken off as no answer, within bounded memory, while others are answered`, async () => {
    const { replies, good, peakBytes } = await runExchanges(head, piece)
    for (const reply of replies) assert.equal(reply, { kind: 'lost', cause: 'invalid' })
    assert.ok(good.length > 0)
    for (const reply of good) assert.is(reply.kind, 'answer')
    assert.ok(peakBytes <= maxBytes, `${peakBytes}`)
  })
}

test('a body that drips is broken off when its time is over', async () => {
  const server = await startRawServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n')
    const drip = setInterval(() => { socket.write('d') }, 100)
    socket.once('close', () => { clearInterval(drip) })
  })
  const clock = Clock.create()
  const connections = ConnectionPool.create({ address: server.address, limit: 1, clock, memory: BodyMemory.create({ maxBytes }) })
  const reply = await exchange({ connections, clock, method: 'GET', path: '/', headers: ['host', 'example'], body: Buffer.alloc(0), connectMs: 500, timeoutMs: 500 })
  assert.equal(reply, { kind: 'lost', cause: 'timeout' })
  connections.close()
  server.close()
})

test('the longest body is broken off first', () => {
  const memory = BodyMemory.create({ maxBytes: 100 })
  const evicted: string[] = []
  const hold = (name: string): { bytes: number, evict: () => void } => ({ bytes: 0, evict: () => { evicted.push(name) } })
  const [long, short] = [hold('long'), hold('short')]
  memory.add(long, 70)
  memory.add(short, 20)
  memory.add(short, 20)
  assert.equal(evicted, ['long'])
  assert.is(memory.bufferedBytes, 40)
  memory.release(short)
  memory.release(short)
  assert.is(memory.bufferedBytes, 0)
})

test.run()
