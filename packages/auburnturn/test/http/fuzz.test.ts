import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'
import { RawCaller, sendRaw } from '../fixtures/raw-http.js'

const fuzz = suite('broken input')
const seed = 20_240
const requests = [
  'GET /~orders/a?b=c HTTP/1.1\r\nhost: shop\r\naccept: */*\r\n\r\n',
  'POST /~orders/a HTTP/1.1\r\nhost: shop\r\ncontent-length: 5\r\nauburnturn-timeout-ms: 500\r\n\r\nhello',
  'POST /~orders/a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nsum: 1\r\n\r\n',
  'POST /~orders/a HTTP/1.1\r\nhost: shop\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\nhello',
  'GET /~nowhere/a HTTP/1.1\r\nhost: shop\r\n\r\n'
]
const validRequest = 'POST /~orders/good HTTP/1.1\r\nhost: shop\r\ncontent-length: 4\r\nconnection: close\r\n\r\ngood'

/** A request with some bytes replaced, inserted or removed, and possibly truncated. */
const mutatedRequest = fc.record({
  request: fc.constantFrom(...requests),
  edits: fc.array(fc.record({ at: fc.nat(150), remove: fc.nat(3), insert: fc.string({ unit: 'binary', maxLength: 3 }) }), { maxLength: 4 }),
  length: fc.option(fc.nat(150), { nil: 1_000 })
}).map(({ request, edits, length }) => {
  let text = request
  for (const { at, remove, insert } of edits) text = text.slice(0, at) + Buffer.from(insert).toString('latin1') + text.slice(at + remove)
  return text.slice(0, length)
})

async function withCluster (test: (port: number, receivedUrls: string[]) => Promise<void>): Promise<void> {
  const receivedUrls: string[] = []
  const cluster = await Cluster.create(1, () => (request, response) => {
    receivedUrls.push(request.url ?? '')
    let text = ''
    request.on('data', chunk => { text += String(chunk) })
    request.on('end', () => { response.end(`got ${request.url ?? ''} ${text}`) })
  })
  await test(cluster.nodes[0]?.callersPort ?? 0, receivedUrls).finally(async () => { await cluster.close() })
}

async function expectValidAnswer (port: number): Promise<void> {
  assert.match(await sendRaw(port, validRequest), 'got /good good')
}

fuzz('a mutated request gets a valid HTTP answer or a close, not-run only if nothing ran, and other calls are unaffected', async () => {
  await withCluster(async (port, receivedUrls) => {
    await fc.assert(fc.asyncProperty(mutatedRequest, async text => {
      const countBefore = receivedUrls.filter(url => url !== '/good').length
      const caller = RawCaller.create(port).write(text).end()
      const [answer] = await Promise.all([caller.read(), expectValidAnswer(port)])
      caller.close()
      assert.ok(answer === '' || /^HTTP\/1\.1 [1-5]\d\d /.test(answer), JSON.stringify(answer))
      const refusals = answer.split('auburnturn-verdict: not-run').length - 1
      const heads = answer.match(/HTTP\/1\.1 [2-5]\d\d /g)?.length ?? 0
      if (heads > 0 && refusals === heads) assert.is(receivedUrls.filter(url => url !== '/good').length, countBefore)
    }), { seed, numRuns: 300 })
  })
})

fuzz('arbitrary bytes are answered with 400, 431 or a close, and the node still answers valid requests', async () => {
  await withCluster(async port => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), async bytes => {
      const caller = RawCaller.create(port).write(Buffer.from(bytes).toString('latin1')).end()
      const answer = await caller.read()
      caller.close()
      assert.ok(answer === '' || answer.startsWith('HTTP/1.1 400') || answer.startsWith('HTTP/1.1 431'), JSON.stringify(answer))
    }), { seed, numRuns: 100 })
    await expectValidAnswer(port)
  })
})

fuzz('a request split into pieces of any size gets the same answer as in one piece', async () => {
  const pieces = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 20 })
  await withCluster(async port => {
    await fc.assert(fc.asyncProperty(fc.constantFrom(...requests.slice(0, 3)), pieces, async (request, lengths) => {
      const text = request.replace('host: shop', 'host: shop\r\nconnection: close')
      const caller = RawCaller.create(port)
      let sent = 0
      for (const length of lengths) {
        caller.write(text.slice(sent, sent + length))
        sent += length
        await new Promise(resolve => setImmediate(resolve))
      }
      const answer = await caller.write(text.slice(sent)).read()
      caller.close()
      assert.match(answer, /^HTTP\/1\.1 200 /)
      assert.match(answer, 'got /a')
    }), { seed, numRuns: 100 })
  })
})

fuzz('fifty callers that never finish a request do not delay other callers', async () => {
  await withCluster(async port => {
    const callers = Array.from({ length: 50 }, (_, index) => RawCaller.create(port).write((requests[index % 3] as string).slice(0, 30 + index)))
    for (let round = 0; round < 5; round++) await expectValidAnswer(port)
    for (const caller of callers) caller.close()
    await expectValidAnswer(port)
  })
})

fuzz.run()
