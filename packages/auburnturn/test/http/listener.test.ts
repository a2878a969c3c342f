import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { done, mayHaveRun, notRun } from '../../src/index.js'
import type { Answer, Body, Call } from '../../src/index.js'
import { Listening, readBody, writeAnswer } from '../fixtures/listening.js'
import { RawCaller, sendRaw } from '../fixtures/raw.js'
import { waitFor } from '../fixtures/wait-for.js'

const listeners = suite('listener')
const get = 'GET / HTTP/1.1\r\nhost: orders\r\n\r\n'

/** Answers with the path and the body. */
async function echo (call: Call, body: Body, answer: Answer): Promise<{ verdict: typeof done }> {
  const text = body.empty ? '' : await readBody(body)
  writeAnswer(answer, `${call.path}[${text}]`)
  return { verdict: done }
}

const refused: Array<[string, string, string]> = [
  ['both Content-Length and Transfer-Encoding', 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', '400'],
  ['Transfer-Encoding and then Content-Length', 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n', '400'],
  ['two lengths that differ', 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd', '400'],
  ['two lengths that agree', 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nabcd', '400'],
  ['a length that is no number', 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +4\r\n\r\nabcd', '400'],
  ['a transfer coding that is not understood', 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\nconnection: close\r\n\r\n0\r\n\r\n', '501'],
  ['Transfer-Encoding in HTTP/1.0', 'POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', '400'],
  ['no Host', 'GET / HTTP/1.1\r\nconnection: close\r\n\r\n', '400'],
  ['two Hosts', 'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\nconnection: close\r\n\r\n', '400'],
  ['a target that is no path', 'GET orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', '400'],
  ['the target *', 'OPTIONS * HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', '400'],
  ['a space before the colon', 'GET / HTTP/1.1\r\nhost : a\r\n\r\n', '400'],
  ['an oversized head', `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(5_000)}\r\n\r\n`, '431'],
  ['an upgrade', 'GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade, close\r\n\r\n', '501'],
  ['CONNECT', 'CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n', '501'],
  ['an expectation that is not met', 'POST / HTTP/1.1\r\nhost: a\r\nexpect: 200-ok\r\ncontent-length: 0\r\nconnection: close\r\n\r\n', '417'],
  ['bytes that are no HTTP', 'hello\r\n\r\n', '400']
]
for (const [what, text, status] of refused) {
  listeners(`${what} is refused with ${status}, not run`, async () => {
    const listening = await Listening.create(echo)
    const answer = await sendRaw(listening.port, text)
    assert.is(answer.slice(9, 12), status)
    assert.match(answer, 'auburnturn-verdict: not-run')
    assert.match(answer, 'content-type: application/problem+json')
    assert.equal(listening.calls, [])
    await listening.close()
  })
}

listeners('two pipelined requests get their own answers in order', async () => {
  const listening = await Listening.create(async (call, body, answer) => {
    if (call.path === '/slow') await new Promise(resolve => setTimeout(resolve, 5))
    return await echo(call, body, answer)
  })
  const answer = await sendRaw(listening.port, 'POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\noneGET /fast HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
  assert.ok(answer.indexOf('/slow[one]') < answer.indexOf('/fast[]'))
  await listening.close()
})

listeners('an early answer does not mix the rest of its body with the next request', async () => {
  const listening = await Listening.create(async (call, body, answer) => {
    if (call.path !== '/early') return await echo(call, body, answer)
    writeAnswer(answer, 'early')
    return { verdict: done }
  }, { body: { replayBytes: 0 } })
  const caller = RawCaller.create(listening.port).write('POST /early HTTP/1.1\r\nhost: a\r\ncontent-length: 38\r\n\r\nGET /inner')
  await caller.read(text => text.includes('early'))
  caller.write(' HTTP/1.1\r\nhost: a\r\n\r\n------').write(get)
  assert.match(await caller.read(text => text.includes('/[]')), '/[]')
  assert.equal(listening.calls.map(call => call.path), ['/early', '/'])
  caller.close()
  await listening.close()
})

listeners('after an early answer a caller that does not go on sending is cut off', async () => {
  const listening = await Listening.create(async (_call, _body, answer) => {
    writeAnswer(answer, 'early')
    return { verdict: done }
  }, { body: { replayBytes: 0 } })
  const caller = RawCaller.create(listening.port).write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\r\nhalf')
  await caller.read(text => text.includes('early'))
  await listening.clock.advance(1_100)
  await caller.read()
  assert.ok(caller.closed)
  await listening.close()
})

listeners('100 Continue is sent only when the body is wanted', async () => {
  const listening = await Listening.create(async (call, body, answer) => {
    return call.path === '/refused' ? { verdict: notRun('overloaded') } : await echo(call, body, answer)
  })
  const head = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n`
  const refusal = await sendRaw(listening.port, head('/refused'))
  assert.match(refusal, /^HTTP\/1\.1 503/)
  const caller = RawCaller.create(listening.port).write(head('/wanted'))
  await caller.read(text => text.includes('100 Continue'))
  caller.write('abc')
  assert.match(await caller.read(text => text.includes('[abc]')), '/wanted[abc]')
  caller.close()
  await listening.close()
})

listeners('a body longer than the profile allows is refused before it runs, or cut where its length was not told', async () => {
  let fault: string | undefined
  const listening = await Listening.create(async (_call, body) => {
    await readBody(body).catch(() => {})
    fault = body.fault
    return { verdict: mayHaveRun('body-too-large') }
  }, { body: { maxBytes: 10, replayBytes: 0 } })
  const told = await sendRaw(listening.port, 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\nconnection: close\r\n\r\n01234567890')
  assert.match(told, /^HTTP\/1\.1 413/)
  assert.match(told, 'not-run')
  const chunked = await sendRaw(listening.port, 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n')
  assert.match(chunked, /^HTTP\/1\.1 413/)
  assert.match(chunked, 'may-have-run')
  assert.is(fault, 'body-too-large')
  await listening.close()
})

for (const [kind, head] of [['short', 'content-length: 9'], ['streamed', 'transfer-encoding: chunked']] as const) {
  listeners(`a caller that falls silent within a ${kind} body is answered with 408 and cut off`, async () => {
    const listening = await Listening.create(async (_call, body) => {
      await readBody(body).catch(() => {})
      return { verdict: mayHaveRun(body.fault ?? 'connection-lost') }
    }, { timeouts: { callerIdleMs: 100 } })
    const caller = RawCaller.create(listening.port).write(`POST / HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n3\r\nabc`)
    await waitFor(() => listening.clock.timerWheel.pending > 0)
    for (let step = 0; step < 20; step++) await listening.clock.advance(100)
    assert.match(await caller.read(), /^HTTP\/1\.1 408/)
    await listening.close()
  })
}

listeners('a caller that takes nothing of its answer is cut off', async () => {
  const listening = await Listening.create(async (call, _body, answer) => {
    answer.head(200, 'OK', [])
    while (!call.signal.aborted) await answer.data(Buffer.alloc(65_536))
    return { verdict: mayHaveRun('caller-gone') }
  }, { timeouts: { callerIdleMs: 100 } })
  const caller = RawCaller.create(listening.port).write(get)
  caller.pause()
  await waitFor(() => listening.clock.timerWheel.pending > 0)
  for (let step = 0; step < 50; step++) await listening.clock.advance(100)
  assert.ok(listening.calls[0]?.signal.aborted)
  caller.close()
  await listening.close()
})

listeners('a body that is retained reads the same again, also while an earlier reading still waits', async () => {
  const listening = await Listening.create(async (_call, body, answer) => {
    const first = readBody(body).catch(() => 'ended')
    await new Promise(resolve => setTimeout(resolve, 5))
    const second = await readBody(body)
    writeAnswer(answer, `${await first} ${second} ${body.replayable ? 'replayable' : 'spent'}`)
    return { verdict: done }
  })
  const caller = RawCaller.create(listening.port).write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n')
  await waitFor(() => listening.calls.length === 1)
  await new Promise(resolve => setTimeout(resolve, 20))
  caller.write('3\r\ndef\r\n0\r\n\r\n')
  assert.match(await caller.read(text => text.includes('replayable')), 'ended abcdef replayable')
  caller.close()
  await listening.close()
})

listeners('a body that grows beyond replayBytes can be read once only', async () => {
  const big = 'x'.repeat(1_000)
  const listening = await Listening.create(async (_call, body, answer) => {
    const text = await readBody(body)
    const again = await readBody(body).catch(() => 'refused')
    writeAnswer(answer, `${text.length} ${again} ${body.replayable ? 'replayable' : 'spent'}`)
    return { verdict: done }
  }, { body: { replayBytes: 100 } })
  const chunk = `${big.length.toString(16)}\r\n${big}\r\n`
  const answer = await sendRaw(listening.port, `POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${chunk}${chunk}0\r\n\r\n`)
  assert.match(answer, '2000 refused spent')
  await listening.close()
})

listeners('a body that breaks its chunking fails its call with 400', async () => {
  const listening = await Listening.create(async (_call, body) => {
    await readBody(body).catch(() => {})
    return { verdict: mayHaveRun(body.fault ?? 'connection-lost') }
  })
  const answer = await sendRaw(listening.port, 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n')
  assert.match(answer, /^HTTP\/1\.1 400/)
  assert.match(answer, 'may-have-run')
  await listening.close()
})

listeners('a broken request behind a good one leaves the good one its answer', async () => {
  let release: () => void = () => {}
  const held = new Promise<void>(resolve => { release = resolve })
  const listening = await Listening.create(async (call, body, answer) => {
    await held
    return await echo(call, body, answer)
  })
  const caller = RawCaller.create(listening.port).write(`${get}nonsense\r\n\r\n`)
  await waitFor(() => listening.calls.length === 1)
  release()
  assert.match(await caller.read(), '/[]')
  caller.close()
  await listening.close()
})

listeners('a cut answer is broken off: no last chunk, and a reset for HTTP/1.0', async () => {
  const listening = await Listening.create(async (_call, _body, answer) => {
    answer.head(200, 'OK', [])
    answer.data(Buffer.from('half'))
    await new Promise(resolve => setTimeout(resolve, 5))
    answer.cut()
    return { verdict: mayHaveRun('answer-cut') }
  })
  const chunked = await sendRaw(listening.port, get)
  assert.match(chunked, 'half')
  assert.not.match(chunked, '0\r\n\r\n')
  const old = RawCaller.create(listening.port).write('GET / HTTP/1.0\r\nhost: a\r\n\r\n')
  await old.read()
  assert.ok(old.wasReset)
  await listening.close()
})

listeners('a caller that leaves aborts its call', async () => {
  let aborted = false
  const listening = await Listening.create(async call => {
    await new Promise<void>(resolve => { call.signal.addEventListener('abort', resolve) })
    aborted = true
    return { verdict: mayHaveRun('caller-gone') }
  })
  const caller = RawCaller.create(listening.port).write(get)
  await waitFor(() => listening.calls.length === 1)
  caller.close()
  await waitFor(() => aborted)
  await listening.close()
})

listeners('closing lets a call in flight end, and closes its kept-alive connection after it', async () => {
  let release: () => void = () => {}
  const held = new Promise<void>(resolve => { release = resolve })
  const listening = await Listening.create(async (_call, _body, answer) => {
    answer.head(200, 'OK', ['content-length', '2'])
    answer.data(Buffer.from('o'))
    await held
    answer.data(Buffer.from('k'))
    answer.end([])
    return { verdict: done }
  })
  const caller = RawCaller.create(listening.port).write(get)
  await caller.read(text => text.endsWith('o'))
  const closing = listening.close()
  release()
  assert.match(await caller.read(), /ok$/)
  await closing
})

listeners('a listener leaves nothing behind after many broken callers', async () => {
  const listening = await Listening.create(echo)
  for (let round = 0; round < 50; round++) {
    const caller = RawCaller.create(listening.port).write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab')
    await waitFor(() => listening.calls.length > round)
    caller.close()
  }
  await waitFor(() => (listening.dump as { inFlight: number }).inFlight === 0)
  await listening.clock.advance(20_000)
  assert.is(listening.clock.timerWheel.pending, 0)
  assert.equal((listening.dump as { connections: number }).connections, 0)
  await listening.close()
})

listeners('a body that does not arrive is no proof that a ticketed call has not run: an earlier sending may have', async () => {
  const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n'
  for (const [ticket, verdict] of [['ticket', 'may-have-run'], [undefined, 'not-run']] as const) {
    const listening = await Listening.create(echo, {}, ticket)
    const caller = RawCaller.create(listening.port).write(`${head}half`)
    await waitFor(() => listening.calls.length === 1)
    await listening.clock.advance(60_000)
    assert.match(await caller.read(text => text.includes('\r\n\r\n')), `auburnturn-verdict: ${verdict}`)
    caller.close()
    await listening.close()
  }
})

listeners('a connection that has brought no request does not keep the listener open', async () => {
  const listening = await Listening.create(echo)
  const silent = RawCaller.create(listening.port)
  await sendRaw(listening.port, 'GET / HTTP/1.1\r\nhost: orders\r\nconnection: close\r\n\r\n')
  await listening.close()
  await waitFor(() => silent.closed)
})

listeners.run()
