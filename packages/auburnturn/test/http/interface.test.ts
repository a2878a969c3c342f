import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'
import { RawCaller, sendRaw } from '../fixtures/raw-http.js'
import { waitFor } from '../fixtures/wait-for.js'

const callers = suite('callers\' interface')

/** Answers with the received request line and headers as JSON, and with forged headers of the system. */
function answerRequestHead (request: IncomingMessage, response: ServerResponse): void {
  response.setHeader('auburnturn-verdict', 'not-run')
  response.setHeader('auburnturn-load', '9;9;9;serving')
  response.end(JSON.stringify({ url: request.url, method: request.method, headers: request.headers }))
}

interface ReceivedHead { readonly url: string, readonly method: string, readonly headers: Record<string, string> }

function parseReceivedHead (answer: string): ReceivedHead {
  return JSON.parse(answer.slice(answer.indexOf('{'), answer.lastIndexOf('}') + 1)) as ReceivedHead
}

async function withCluster (size: number, test: (cluster: Cluster, port: number) => Promise<void>, handleRequest = answerRequestHead): Promise<void> {
  const cluster = await Cluster.create(size, () => handleRequest)
  try {
    await test(cluster, cluster.nodes[0]?.callersPort ?? 0)
  } finally {
    await cluster.close()
  }
}

/** Makes the first node forward every call to another node. */
function forwardAll (cluster: Cluster): void {
  cluster.publish({ key: 'profile/far', version: 1, text: '{ "admission": { "localBelow": 0 } }' }, { key: 'service/orders', version: 2, text: '{ "profile": "far" }' })
}

const targets: Array<[string, string, string]> = [
  ['by path', '/~orders/list?page=2', '/list?page=2'],
  ['by path alone', '/~orders', '/'],
  ['by path with a query only', '/~orders?page=2', '/?page=2'],
  ['by an absolute target', 'http://orders.internal:80/list', '/list'],
  ['by an absolute target without a path', 'http://orders', '/']
]
for (const [method, target, path] of targets) {
  callers(`a service is selected ${method}`, async () => {
    await withCluster(1, async (_cluster, port) => {
      const answer = await sendRaw(port, `GET ${target} HTTP/1.1\r\nhost: elsewhere\r\nconnection: close\r\n\r\n`)
      assert.is(parseReceivedHead(answer).url, path)
    })
  })
}

callers('a service is selected by the first label of the host', async () => {
  await withCluster(1, async (_cluster, port) => {
    const answer = await sendRaw(port, 'GET /list HTTP/1.1\r\nhost: orders.internal:8080\r\nconnection: close\r\n\r\n')
    assert.is(parseReceivedHead(answer).url, '/list')
    assert.is(parseReceivedHead(answer).headers.host, 'orders.internal:8080')
  })
})

for (const size of [1, 3]) {
  callers(`headers of the system from callers and upstreams are dropped, with ${size} nodes`, async () => {
    await withCluster(size, async (cluster, port) => {
      if (size > 1) forwardAll(cluster)
      const answer = await sendRaw(port, 'GET /~orders/ HTTP/1.1\r\nhost: a\r\nauburnturn-caller: admin\r\nAuburnturn-Service: stock\r\nauburnturn-call-id: x\r\nauburnturn-load: 0\r\nauburnturn-timeout-ms: 800\r\nconnection: close\r\n\r\n')
      const { headers } = parseReceivedHead(answer)
      const systemHeaders = Object.keys(headers).filter(name => name.startsWith('auburnturn-')).sort()
      assert.equal(systemHeaders, ['auburnturn-attempt', 'auburnturn-depth', 'auburnturn-timeout-ms'])
      assert.ok(Number(headers['auburnturn-timeout-ms']) <= 800)
      assert.is(headers['auburnturn-depth'], '1')
      const answerHeaders = answer.toLowerCase().match(/^auburnturn-[^\r]*/gm)
      assert.equal(answerHeaders, ['auburnturn-verdict: done'])
    })
  })

  callers(`hop-by-hop headers are not forwarded, and Forwarded and Via are set once, with ${size} nodes`, async () => {
    await withCluster(size, async (cluster, port) => {
      if (size > 1) forwardAll(cluster)
      const answer = await sendRaw(port, 'GET /~orders/ HTTP/1.1\r\nhost: shop\r\nforwarded: for=10.1.1.1\r\nconnection: close, x-mine\r\nx-mine: 1\r\nte: trailers\r\nproxy-authorization: secret\r\nkeep-alive: 5\r\n\r\n')
      const { headers } = parseReceivedHead(answer)
      for (const name of ['x-mine', 'te', 'proxy-authorization', 'keep-alive']) assert.is(headers[name], undefined)
      assert.is(headers.forwarded, 'for=10.1.1.1, for=127.0.0.1;proto=http;host="shop"')
      assert.is(headers.via, '1.1 auburnturn')
      assert.is(answer.toLowerCase().match(/^via: 1\.1 auburnturn/gm)?.length, 1)
    })
  })

  callers(`request and answer bodies, trailers and early hints are forwarded, with ${size} nodes`, async () => {
    const big = 'x'.repeat(300_000)
    await withCluster(size, async (cluster, port) => {
      if (size > 1) forwardAll(cluster)
      const chunked = `${big.length.toString(16)}\r\n${big}\r\n0\r\n\r\n`
      const answer = await sendRaw(port, `POST /~orders/ HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n${chunked}`)
      assert.match(answer, 'HTTP/1.1 103 Early Hints')
      assert.match(answer, '\r\n0\r\nsum: 300000\r\n')
      assert.ok(answer.length > big.length)
    }, (request, response) => {
      response.writeEarlyHints({ link: '</style.css>; rel=preload' })
      response.writeHead(200, { trailer: 'sum' })
      let bytes = 0
      request.on('data', chunk => { bytes += chunk.length }).pipe(response, { end: false })
      request.on('end', () => {
        response.addTrailers({ sum: String(bytes) })
        response.end()
      })
    })
  })
}

callers('answers to HEAD and answers with 204 and 304 have no body, and the connection stays usable', async () => {
  await withCluster(1, async (_cluster, port) => {
    const caller = RawCaller.create(port)
    for (const [method, path, status] of [['HEAD', '/200', 200], ['GET', '/204', 204], ['GET', '/304', 304], ['HEAD', '/304', 304]] as const) {
      caller.text = ''
      const answer = await caller.write(`${method} /~orders${path} HTTP/1.1\r\nhost: a\r\n\r\n`).read(text => text.endsWith('\r\n\r\n'))
      assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `))
    }
    caller.close()
  }, (request, response) => {
    response.writeHead(Number(request.url?.slice(1)), request.url === '/204' ? {} : { 'content-length': '5' })
    response.end()
  })
})

for (const header of ['auburnturn-timeout-ms: soon', 'auburnturn-timeout-ms: -1', 'auburnturn-idempotent: maybe']) {
  callers(`"${header}" is refused instead of ignored`, async () => {
    await withCluster(1, async (_cluster, port) => {
      const answer = await sendRaw(port, `GET /~orders/ HTTP/1.1\r\nhost: a\r\n${header}\r\nconnection: close\r\n\r\n`)
      assert.match(answer, /^HTTP\/1\.1 400/)
      assert.match(answer, 'auburnturn-verdict: not-run')
    })
  })
}

callers('a call without remaining time is refused as not run', async () => {
  await withCluster(1, async (_cluster, port) => {
    const answer = await sendRaw(port, 'GET /~orders/ HTTP/1.1\r\nhost: a\r\nauburnturn-timeout-ms: 0\r\nconnection: close\r\n\r\n')
    assert.match(answer, /^HTTP\/1\.1 504/)
    assert.match(answer, 'auburnturn-cause: deadline-expired')
  })
})

callers('large request and answer heads within the limit are forwarded', async () => {
  const large = 'y'.repeat(12_000)
  await withCluster(1, async (_cluster, port) => {
    const answer = await sendRaw(port, `GET /~orders/ HTTP/1.1\r\nhost: a\r\nx-large: ${large}\r\nconnection: close\r\n\r\n`)
    assert.match(answer, `x-large-back: ${large}`)
  }, (request, response) => { response.writeHead(200, { 'x-large-back': request.headers['x-large'] as string }).end() })
})

for (const size of [1, 3]) {
  callers(`a caller that disconnects and a timeout close the connection to the upstream, with ${size} nodes`, async () => {
    let arrived = 0
    let ended = 0
    await withCluster(size, async (cluster, port) => {
      if (size > 1) forwardAll(cluster)
      const caller = RawCaller.create(port).write('POST /~orders/ HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok')
      await waitFor(() => arrived === 1)
      caller.close()
      await waitFor(() => ended === 1)
      const answer = await sendRaw(port, 'POST /~orders/ HTTP/1.1\r\nhost: a\r\nauburnturn-timeout-ms: 30\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok')
      assert.match(answer, /^HTTP\/1\.1 504/)
      assert.match(answer, 'auburnturn-verdict: may-have-run')
      await waitFor(() => ended === 2)
      assert.is(arrived, 2)
    }, (_request, response) => {
      arrived++
      response.on('close', () => { ended++ })
    })
  })
}

callers('an answer that the upstream aborts is never forwarded as complete, through one node or two', async () => {
  for (const size of [1, 3]) {
    await withCluster(size, async (cluster, port) => {
      if (size > 1) forwardAll(cluster)
      const answer = await sendRaw(port, 'GET /~orders/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
      assert.match(answer, 'half')
      assert.not.match(answer, '\r\n0\r\n\r\n')
    }, (_request, response) => {
      response.write('half')
      setTimeout(() => { response.destroy() }, 5)
    })
  }
})

callers.run()
