import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RawOwnTarget } from './fixtures/raw-own-target.js'

const test = suite('spliced bodies')

const body = 'b'.repeat(200)
const earlier = 'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r-earlier\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull'
const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: r-1\r\nX-Response-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n`

/** Bytes of the body before the earlier message, and time between two segments in milliseconds. */
const cut = 80
const segmentGapMs = 5

function writeSegments (socket: Socket, [first, ...rest]: readonly string[]): void {
  if (first === undefined) return
  socket.write(first)
  setTimeout(() => { writeSegments(socket, rest) }, segmentGapMs)
}

/** Sends a request whose answer is written in segments; the body that a caller would get, or the kind of the outcome. */
async function send (segments: readonly string[]): Promise<string> {
  const target = await RawOwnTarget.create()
  target.answer = socket => { writeSegments(socket, segments) }
  const outcome = await target.send('r-1')
  target.close()
  return outcome.kind === 'answer' ? outcome.body.toString() : outcome.kind
}

// Guards against a success whose body ends with bytes of an earlier message (MIXED; issue 29).
test('a body that breaks off and goes on with an earlier message to its length is no answer', async () => {
  assert.is(await send([head + body.slice(earlier.length) + earlier]), 'may-have-run')
})

// Guards against a success whose body contains an earlier message (MIXED; issue 29).
test('a body with an earlier message inside is no answer', async () => {
  assert.is(await send([head + body.slice(0, cut), earlier + body.slice(cut, body.length - earlier.length), body.slice(body.length - earlier.length)]), 'may-have-run')
})

test.run()
