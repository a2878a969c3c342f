import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Exchange, ManualClock } from '../../src/index.js'
import { createBody, createCall, RecordingAnswer } from '../fixtures/calls.js'
import { RawServer } from '../fixtures/raw-http.js'
import { waitFor } from '../fixtures/wait-for.js'

const exchanges = suite('exchange')
const completeAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

interface ExchangeHarness { readonly clock: ManualClock, readonly server: RawServer, readonly exchange: Exchange }

async function withServer (onReceive: (socket: Socket, text: string, index: number) => void, test: (harness: ExchangeHarness) => Promise<void>, maxConnections = 4): Promise<void> {
  const clock = ManualClock.create()
  const server = await RawServer.create(onReceive)
  const exchange = Exchange.create({ origin: server.origin, maxConnections, clock })
  try {
    await test({ clock, server, exchange })
  } finally {
    await exchange.close()
    await server.close()
  }
}

exchanges('a refused connection is reported as not run', async () => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  const exchange = Exchange.create({ origin: `http://127.0.0.1:${port}`, maxConnections: 2, clock: ManualClock.create() })
  for (let round = 0; round < 3; round++) {
    const { verdict } = await exchange.send(createCall({ method: 'POST' }), createBody('x'), new RecordingAnswer())
    assert.equal(verdict, { kind: 'not-run', cause: 'connect-failed' })
  }
  await exchange.close()
})

exchanges('a connection that does not open within connectMs is reported as not run, and the next call opens a new one', async () => {
  const clock = ManualClock.create()
  let opened = 0
  const exchange = Exchange.create({ origin: 'http://127.0.0.1:9', maxConnections: 1, clock, connector: () => { opened++ } })
  for (let round = 1; round <= 2; round++) {
    const sending = exchange.send(createCall({ deadline: clock.now() + 5_000 }), createBody(), new RecordingAnswer())
    await clock.advance(300)
    assert.equal((await sending).verdict, { kind: 'not-run', cause: 'connect-failed' })
    assert.is(opened, round)
  }
  await exchange.close()
})

for (const method of ['GET', 'POST']) {
  exchanges(`a reset on a keep-alive connection after ${method} was sent is reported as may have run, without a resend`, async () => {
    let requests = 0
    await withServer(socket => {
      requests++
      if (requests === 1) socket.write(completeAnswer)
      else socket.resetAndDestroy()
    }, async ({ exchange }) => {
      const call = createCall({ method })
      const body = (): ReturnType<typeof createBody> => createBody(method === 'POST' ? 'order' : '')
      assert.is((await exchange.send(call, body(), new RecordingAnswer())).verdict.kind, 'done')
      const answer = new RecordingAnswer()
      assert.equal((await exchange.send(call, body(), answer)).verdict, { kind: 'may-have-run', cause: 'connection-lost' })
      assert.not(answer.started)
      await new Promise(resolve => setImmediate(resolve))
      assert.is(requests, 2)
    })
  })
}

// Guards against an answer with an empty or short body, made of a head that an upstream began and never ended (MIXED; issue 26).
for (const interim of ['', 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n']) {
  exchanges(`an answer whose head ends anywhere before its last byte is no answer${interim === '' ? '' : ', also after an interim one'}`, async () => {
    const head = `${interim}HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n\r\n`
    for (let length = 0; length < head.length; length++) {
      await withServer(socket => { socket.end(head.slice(0, length)) }, async ({ exchange }) => {
        const answer = new RecordingAnswer()
        const { verdict } = await exchange.send(createCall(), createBody(), answer)
        assert.is(verdict.kind, 'may-have-run', `${length} bytes`)
        assert.not(answer.started, `${length} bytes`)
      })
    }
  })
}

exchanges('a call that gets no connection before its deadline is reported as not run', async () => {
  const heldSockets: Socket[] = []
  await withServer(socket => { heldSockets.push(socket) }, async ({ clock, server, exchange }) => {
    const first = exchange.send(createCall({ deadline: 9_000 }), createBody(), new RecordingAnswer())
    await waitFor(() => heldSockets.length === 1)
    const second = exchange.send(createCall({ path: '/second', deadline: 100 }), createBody(), new RecordingAnswer())
    await clock.advance(150)
    assert.equal((await second).verdict, { kind: 'not-run', cause: 'deadline-expired' })
    heldSockets[0]?.write(completeAnswer)
    assert.is((await first).verdict.kind, 'done')
    const third = exchange.send(createCall({ path: '/third', deadline: 9_000 }), createBody(), new RecordingAnswer())
    await waitFor(() => heldSockets.length === 2)
    heldSockets[1]?.write(completeAnswer)
    assert.is((await third).verdict.kind, 'done')
    assert.not(server.received.join().includes('/second'))
  }, 1)
})

exchanges('a caller that disconnects while its call waits for a connection is reported as not run', async () => {
  const heldSockets: Socket[] = []
  await withServer(socket => { heldSockets.push(socket) }, async ({ exchange }) => {
    const cancellation = new AbortController()
    const first = exchange.send(createCall(), createBody(), new RecordingAnswer())
    await waitFor(() => heldSockets.length === 1)
    const second = exchange.send(createCall({ signal: cancellation.signal }), createBody(), new RecordingAnswer())
    cancellation.abort()
    assert.equal((await second).verdict, { kind: 'not-run', cause: 'caller-gone' })
    heldSockets[0]?.write(completeAnswer)
    await first
  }, 1)
})

exchanges('a timeout closes the connection to the upstream, and an answer after the deadline is discarded', async () => {
  const heldSockets: Socket[] = []
  await withServer((socket, _text, index) => {
    heldSockets[index] = socket
    if (index > 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond')
  }, async ({ clock, server, exchange }) => {
    const discardedAnswer = new RecordingAnswer()
    const sending = exchange.send(createCall({ deadline: 100 }), createBody(), discardedAnswer)
    await waitFor(() => heldSockets.length === 1)
    await clock.advance(150)
    assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'timeout' })
    heldSockets[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst')
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.is(answer.text, 'second')
    assert.not(discardedAnswer.started)
    await waitFor(() => server.closedConnections.has(0))
  })
})

exchanges('a timeout during an answer aborts it', async () => {
  await withServer(socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf') }, async ({ clock, server, exchange }) => {
    const answer = new RecordingAnswer()
    const sending = exchange.send(createCall({ deadline: 100 }), createBody(), answer)
    await waitFor(() => answer.text === 'half')
    await clock.advance(150)
    assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'timeout' })
    assert.is(answer.state, 'cut')
    await waitFor(() => server.closedConnections.has(0))
  })
})

exchanges('a caller that disconnects closes the connection to the upstream immediately', async () => {
  await withServer(() => {}, async ({ server, exchange }) => {
    const cancellation = new AbortController()
    const sending = exchange.send(createCall({ signal: cancellation.signal }), createBody(), new RecordingAnswer())
    await waitFor(() => server.received[0] !== undefined && server.received[0].length > 0)
    cancellation.abort()
    assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'caller-gone' })
    await waitFor(() => server.closedConnections.has(0))
  })
})

const cutAnswers: Record<string, string> = {
  'before its declared length': 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf',
  'before its declared length, with connection: close': 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf',
  'before its last chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
  'within a chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n9\r\nhalf',
  'before the final empty line': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n'
}
for (const [cutPoint, text] of Object.entries(cutAnswers)) {
  for (const reset of [false, true]) {
    exchanges(`an answer cut short ${cutPoint} by a ${reset ? 'reset' : 'close'} is never forwarded as complete`, async () => {
      const heldSockets: Socket[] = []
      await withServer(socket => {
        heldSockets.push(socket)
        socket.write(text)
      }, async ({ exchange }) => {
        const answer = new RecordingAnswer()
        const sending = exchange.send(createCall(), createBody(), answer)
        await waitFor(() => answer.text === 'half')
        if (reset) heldSockets[0]?.resetAndDestroy()
        else heldSockets[0]?.end()
        assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'answer-cut' })
        assert.is(answer.state, 'cut')
      })
    })
  }
}

const invalidAnswers: Record<string, string> = {
  'without framing, which only a close would end': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf',
  'in HTTP/1.0 without a length': 'HTTP/1.0 200 OK\r\n\r\nhalf',
  'with both Transfer-Encoding and Content-Length': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n',
  'with two lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nhalf',
  'that is not HTTP': 'SSH-2.0-OpenSSH\r\n'
}
for (const [description, text] of Object.entries(invalidAnswers)) {
  exchanges(`an answer ${description} is reported as may have run`, async () => {
    await withServer(socket => { socket.end(text) }, async ({ exchange }) => {
      const answer = new RecordingAnswer()
      const { verdict } = await exchange.send(createCall(), createBody(), answer)
      assert.equal(verdict, { kind: 'may-have-run', cause: 'answer-invalid' })
      assert.not(answer.started)
    })
  })
}

const bodilessAnswers: Array<[string, string]> = [
  ['HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'],
  ['GET', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n'],
  ['GET', 'HTTP/1.1 204 No Content\r\n\r\n']
]
for (const [method, text] of bodilessAnswers) {
  exchanges(`an answer without a body is complete: ${method} ${text.slice(9, 12)}`, async () => {
    await withServer(socket => { socket.write(text) }, async ({ exchange }) => {
      for (let round = 0; round < 2; round++) {
        const answer = new RecordingAnswer()
        assert.is((await exchange.send(createCall({ method }), createBody(), answer)).verdict.kind, 'done')
        assert.is(answer.state, 'ended')
      }
    })
  })
}

exchanges('trailers and early hints are forwarded', async () => {
  const text = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nsum: 7\r\n\r\n'
  await withServer(socket => { socket.write(text) }, async ({ exchange }) => {
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.equal(answer.informationalStatuses, [103])
    assert.equal(answer.trailers, ['sum', '7'])
  })
})

const nodeAnswer = 'HTTP/1.1 200 OK\r\nauburnturn-verdict: not-run\r\nAuburnturn-Cause: overloaded\r\nauburnturn-load: 1;0;20;serving\r\nauburnturn-incarnation: x\r\nauburnturn-ticket: t\r\nauburnturn-send: 1\r\ncontent-length: 2\r\n\r\nok'

exchanges('verdict, load and incarnation headers of an upstream are ignored', async () => {
  await withServer(socket => { socket.write(nodeAnswer) }, async ({ exchange }) => {
    const answer = new RecordingAnswer()
    const outcome = await exchange.send(createCall(), createBody(), answer)
    assert.equal(outcome, { verdict: { kind: 'done' }, status: 200 })
    assert.equal(answer.headers, ['content-length', '2'])
  })
})

exchanges('verdict, load, incarnation and successor of a refusal by another node are accepted', async () => {
  const server = await RawServer.create(socket => { socket.write(nodeAnswer) })
  const exchange = Exchange.create({ origin: server.origin, maxConnections: 1, clock: ManualClock.create(), isPeer: true })
  const answer = new RecordingAnswer()
  const outcome = await exchange.send(createCall(), createBody(), answer)
  assert.equal(outcome.verdict, { kind: 'not-run', cause: 'overloaded' })
  assert.equal(outcome.load, { running: 1, queued: 0, limit: 20, state: 'serving' })
  assert.is(outcome.incarnation, 'x')
  assert.is(outcome.successor, 't')
  assert.not(answer.started)
  await exchange.close()
  await server.close()
})

exchanges('an answer of another node without a verdict is invalid', async () => {
  const server = await RawServer.create(socket => { socket.write(completeAnswer) })
  const exchange = Exchange.create({ origin: server.origin, maxConnections: 1, clock: ManualClock.create(), isPeer: true })
  const { verdict } = await exchange.send(createCall(), createBody(), new RecordingAnswer())
  assert.equal(verdict, { kind: 'may-have-run', cause: 'answer-invalid' })
  await exchange.close()
  await server.close()
})

exchanges('an answer that ends while the request body is still being sent is complete, and the connection is not reused', async () => {
  await withServer((socket, text, index) => {
    if (text.includes('\r\n\r\n')) socket.write(index === 0 ? completeAnswer : 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother')
  }, async ({ server, exchange }) => {
    let release: () => void = () => {}
    const released = new Promise<void>(resolve => { release = resolve })
    const body = { empty: false, replayable: true, read: async function * () { yield Buffer.from('x'); await released } }
    assert.is((await exchange.send(createCall({ method: 'POST' }), body, new RecordingAnswer())).verdict.kind, 'done')
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.is(answer.text, 'other')
    assert.is(server.received.length, 2)
    release()
  }, 1)
})

/** The header of a request that the answer of another node repeats, with a CRLF; empty if the request has none. */
function findSendLine (request: string): string {
  return [...request.matchAll(/auburnturn-send: [^\r]*\r\n/g)].at(-1)?.[0] ?? ''
}

const refusalHead = 'HTTP/1.1 503 Busy\r\nauburnturn-verdict: not-run\r\nauburnturn-cause: overloaded\r\ncontent-length: 0\r\n'
const answerHead = 'HTTP/1.1 200 OK\r\nauburnturn-verdict: done\r\ncontent-length: 0\r\n'

// Guards against "not run" for a call that runs, with another node's refusal of an earlier call on the same connection.
exchanges('an answer of another node that belongs to another call changes nothing', async () => {
  const requests: string[] = []
  let calls = 0
  const server = await RawServer.create((socket, text) => {
    requests.push(text)
    const [first = ''] = requests
    calls++
    // The second call is answered with the refusal of the first one, before it runs.
    if (calls <= 2) socket.write(`${refusalHead}${findSendLine(first)}\r\n`)
    else socket.write(`${answerHead}${findSendLine(text)}\r\n`)
  })
  const exchange = Exchange.create({ origin: server.origin, maxConnections: 1, clock: ManualClock.create(), isPeer: true })
  const send = async (id: string): Promise<unknown> => (await exchange.send(createCall({ id, method: 'POST' }), createBody('x'), new RecordingAnswer())).verdict
  assert.equal(await send('call-1'), { kind: 'not-run', cause: 'overloaded' })
  assert.equal(await send('call-2'), { kind: 'may-have-run', cause: 'answer-invalid' })
  assert.equal(await send('call-3'), { kind: 'done' })
  assert.is(server.received.length, 2, 'the connection of the answer is closed')
  await exchange.close()
  await server.close()
})

// Guards against an answer that comes while a connection is idle, and that the next call would begin to read.
exchanges('an answer on an idle connection of another node closes it, and the next call gets its own', async () => {
  const server = await RawServer.create((socket, text) => { socket.write(`${answerHead}${findSendLine(text)}\r\n`) })
  const exchange = Exchange.create({ origin: server.origin, maxConnections: 1, clock: ManualClock.create(), isPeer: true })
  const send = async (): Promise<unknown> => (await exchange.send(createCall({ method: 'POST' }), createBody('x'), new RecordingAnswer())).verdict
  assert.equal(await send(), { kind: 'done' })
  for (const socket of server.sockets) socket.write(`${refusalHead}auburnturn-send: 2\r\n\r\n`)
  await waitFor(() => server.closedConnections.has(0))
  assert.equal(await send(), { kind: 'done' })
  assert.is(server.received.length, 2)
  await exchange.close()
  await server.close()
})

exchanges.run()
