import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Exchange, ManualClock } from '../../src/index.js'
import { createBody, createCall, RecordingAnswer } from '../fixtures/calls.js'
import { RawServer } from '../fixtures/raw-http.js'
import { waitFor } from '../fixtures/wait-for.js'

const exchanges = suite('exchange')
const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

interface ExchangeHarness { readonly clock: ManualClock, readonly server: RawServer, readonly exchange: Exchange }

async function withServer (receive: (socket: Socket, text: string, index: number) => void, test: (bench: ExchangeHarness) => Promise<void>, connections = 4): Promise<void> {
  const clock = ManualClock.create()
  const server = await RawServer.create(receive)
  const exchange = Exchange.create({ origin: server.origin, maxConnections: connections, clock })
  try {
    await test({ clock, server, exchange })
  } finally {
    await exchange.close()
    await server.close()
  }
}

exchanges('a refused connection means not run', async () => {
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

exchanges('a connection that does not open within connectMs means not run, and the next call opens another', async () => {
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
  exchanges(`a reset on a kept-alive connection after ${method} was sent means may have run, and nothing is sent again`, async () => {
    let requests = 0
    await withServer(socket => {
      requests++
      if (requests === 1) socket.write(whole)
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

exchanges('a call that never got a connection before its deadline did not run', async () => {
  const held: Socket[] = []
  await withServer(socket => { held.push(socket) }, async ({ clock, server, exchange }) => {
    const first = exchange.send(createCall({ deadline: 9_000 }), createBody(), new RecordingAnswer())
    await waitFor(() => held.length === 1)
    const second = exchange.send(createCall({ path: '/second', deadline: 100 }), createBody(), new RecordingAnswer())
    await clock.advance(150)
    assert.equal((await second).verdict, { kind: 'not-run', cause: 'deadline-expired' })
    held[0]?.write(whole)
    assert.is((await first).verdict.kind, 'done')
    const third = exchange.send(createCall({ path: '/third', deadline: 9_000 }), createBody(), new RecordingAnswer())
    await waitFor(() => held.length === 2)
    held[1]?.write(whole)
    assert.is((await third).verdict.kind, 'done')
    assert.not(server.received.join().includes('/second'))
  }, 1)
})

exchanges('a caller that leaves while its call waits for a connection has run nothing', async () => {
  const held: Socket[] = []
  await withServer(socket => { held.push(socket) }, async ({ exchange }) => {
    const gone = new AbortController()
    const first = exchange.send(createCall(), createBody(), new RecordingAnswer())
    await waitFor(() => held.length === 1)
    const second = exchange.send(createCall({ signal: gone.signal }), createBody(), new RecordingAnswer())
    gone.abort()
    assert.equal((await second).verdict, { kind: 'not-run', cause: 'caller-gone' })
    held[0]?.write(whole)
    await first
  }, 1)
})

exchanges('a timeout closes the upstream\'s connection, and a late answer reaches nobody', async () => {
  const held: Socket[] = []
  await withServer((socket, _text, index) => {
    held[index] = socket
    if (index > 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond')
  }, async ({ clock, server, exchange }) => {
    const late = new RecordingAnswer()
    const sending = exchange.send(createCall({ deadline: 100 }), createBody(), late)
    await waitFor(() => held.length === 1)
    await clock.advance(150)
    assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'timeout' })
    held[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst')
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.is(answer.text, 'second')
    assert.not(late.started)
    await waitFor(() => server.closedConnections.has(0))
  })
})

exchanges('a timeout in the middle of an answer cuts it', async () => {
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

exchanges('a caller that leaves closes the upstream\'s connection at once', async () => {
  await withServer(() => {}, async ({ server, exchange }) => {
    const gone = new AbortController()
    const sending = exchange.send(createCall({ signal: gone.signal }), createBody(), new RecordingAnswer())
    await waitFor(() => server.received[0] !== undefined && server.received[0].length > 0)
    gone.abort()
    assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'caller-gone' })
    await waitFor(() => server.closedConnections.has(0))
  })
})

const cutAnswers: Record<string, string> = {
  'by its length': 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf',
  'by its length, on a connection that was to close': 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf',
  'by its chunks': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
  'within a chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n9\r\nhalf',
  'before its last empty line': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n'
}
for (const [how, text] of Object.entries(cutAnswers)) {
  for (const reset of [false, true]) {
    exchanges(`an answer cut short ${how} ${reset ? 'with a reset' : 'by a close'} is never passed on as whole`, async () => {
      const held: Socket[] = []
      await withServer(socket => {
        held.push(socket)
        socket.write(text)
      }, async ({ exchange }) => {
        const answer = new RecordingAnswer()
        const sending = exchange.send(createCall(), createBody(), answer)
        await waitFor(() => answer.text === 'half')
        if (reset) held[0]?.resetAndDestroy()
        else held[0]?.end()
        assert.equal((await sending).verdict, { kind: 'may-have-run', cause: 'answer-cut' })
        assert.is(answer.state, 'cut')
      })
    })
  }
}

const invalidAnswers: Record<string, string> = {
  'whose end only a close would show': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf',
  'of HTTP/1.0 without a length': 'HTTP/1.0 200 OK\r\n\r\nhalf',
  'with both framings': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n',
  'with two lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nhalf',
  'that is not HTTP': 'SSH-2.0-OpenSSH\r\n'
}
for (const [what, text] of Object.entries(invalidAnswers)) {
  exchanges(`an answer ${what} is refused as may have run`, async () => {
    await withServer(socket => { socket.end(text) }, async ({ exchange }) => {
      const answer = new RecordingAnswer()
      const { verdict } = await exchange.send(createCall(), createBody(), answer)
      assert.equal(verdict, { kind: 'may-have-run', cause: 'answer-invalid' })
      assert.not(answer.started)
    })
  })
}

const bodiless: Array<[string, string]> = [
  ['HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'],
  ['GET', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n'],
  ['GET', 'HTTP/1.1 204 No Content\r\n\r\n']
]
for (const [method, text] of bodiless) {
  exchanges(`an answer without a body is whole: ${method} ${text.slice(9, 12)}`, async () => {
    await withServer(socket => { socket.write(text) }, async ({ exchange }) => {
      for (let round = 0; round < 2; round++) {
        const answer = new RecordingAnswer()
        assert.is((await exchange.send(createCall({ method }), createBody(), answer)).verdict.kind, 'done')
        assert.is(answer.state, 'ended')
      }
    })
  })
}

exchanges('trailers and early hints are passed on', async () => {
  const text = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nsum: 7\r\n\r\n'
  await withServer(socket => { socket.write(text) }, async ({ exchange }) => {
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.equal(answer.informationalStatuses, [103])
    assert.equal(answer.trailers, ['sum', '7'])
  })
})

const forged = 'HTTP/1.1 200 OK\r\nauburnturn-verdict: not-run\r\nAuburnturn-Cause: overloaded\r\nauburnturn-load: 1;0;20;serving\r\nauburnturn-incarnation: x\r\nauburnturn-ticket: t\r\ncontent-length: 2\r\n\r\nok'

exchanges('an upstream can forge neither verdict nor load nor incarnation', async () => {
  await withServer(socket => { socket.write(forged) }, async ({ exchange }) => {
    const answer = new RecordingAnswer()
    const outcome = await exchange.send(createCall(), createBody(), answer)
    assert.equal(outcome, { verdict: { kind: 'done' }, status: 200 })
    assert.equal(answer.headers, ['content-length', '2'])
  })
})

exchanges('another node\'s refusal is taken at its word', async () => {
  const server = await RawServer.create(socket => { socket.write(forged) })
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

exchanges('an answer without a verdict is not a node\'s', async () => {
  const server = await RawServer.create(socket => { socket.write(whole) })
  const exchange = Exchange.create({ origin: server.origin, maxConnections: 1, clock: ManualClock.create(), isPeer: true })
  const { verdict } = await exchange.send(createCall(), createBody(), new RecordingAnswer())
  assert.equal(verdict, { kind: 'may-have-run', cause: 'answer-invalid' })
  await exchange.close()
  await server.close()
})

exchanges('an early answer to a body that is still being sent is whole, and the connection is not used again', async () => {
  await withServer((socket, text, index) => {
    if (text.includes('\r\n\r\n')) socket.write(index === 0 ? whole : 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother')
  }, async ({ server, exchange }) => {
    let release: () => void = () => {}
    const held = new Promise<void>(resolve => { release = resolve })
    const body = { empty: false, replayable: true, read: async function * () { yield Buffer.from('x'); await held } }
    assert.is((await exchange.send(createCall({ method: 'POST' }), body, new RecordingAnswer())).verdict.kind, 'done')
    const answer = new RecordingAnswer()
    assert.is((await exchange.send(createCall(), createBody(), answer)).verdict.kind, 'done')
    assert.is(answer.text, 'other')
    assert.is(server.received.length, 2)
    release()
  }, 1)
})

exchanges.run()
