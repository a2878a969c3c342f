import fc from 'fast-check'
import { connect as connectHttp2, constants } from 'node:http2'
import { connect } from 'node:net'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster } from '../fixtures/cluster.js'

const fuzz = suite('fuzzing of messages between nodes')

const seed = 4_711
const runs = 100
const idleTimeoutMs = 15
const ip = '127.0.0.1'

/** A valid message with bytes inserted, removed and replaced, or truncated. */
function mutate (valid: Buffer): fc.Arbitrary<Buffer> {
  const edit = fc.record({ at: fc.nat(valid.length - 1), removed: fc.nat(4), inserted: fc.uint8Array({ maxLength: 4 }) }, { noNullPrototype: true })
  const edited = fc.array(edit, { minLength: 1, maxLength: 3 }).map(edits => edits.reduce(
    (bytes, { at, removed, inserted }) => Buffer.concat([bytes.subarray(0, at), inserted, bytes.subarray(at + removed)]), valid))
  return fc.oneof(edited, fc.nat(valid.length - 1).map(length => valid.subarray(0, length)))
}

/** Writes bytes to a port and reads until the other end closes or sends nothing for `idleTimeoutMs`. */
async function exchange (port: number, bytes: Buffer): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(port, ip)
    let text = ''
    socket.setTimeout(idleTimeoutMs, () => { socket.destroy() })
    socket.on('data', chunk => { text += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(text) })
    socket.write(bytes)
  })
}

async function createEchoCluster (): Promise<Cluster> {
  return await Cluster.create(1, () => (incoming, response) => {
    incoming.on('error', () => {})
    incoming.resume().on('end', () => { response.end(`answer to ${incoming.url ?? ''}`) })
  })
}

/** Statuses with which a node may refuse a message, and those of the upstream. */
const statuses = /^HTTP\/1\.1 (100|200|400|404|405|408|409|413|414|417|431|501|502|503|504|505) /

fuzz('mutated and truncated calls are refused or run as written, and the node keeps serving calls', async () => {
  const cluster = await createEchoCluster()
  const [node] = cluster.nodes
  const peer = Buffer.from('POST /place HTTP/1.1\r\nhost: orders\r\nauburnturn-service: orders\r\nauburnturn-timeout-ms: 900\r\nauburnturn-attempt: 1\r\nauburnturn-depth: 1\r\nauburnturn-idempotent: no\r\nauburnturn-ticket: orders-1.00.1.abcdefghijklmnop\r\ncontent-length: 4\r\n\r\nbody')
  const caller = Buffer.from('POST /~orders/place HTTP/1.1\r\nhost: node\r\nauburnturn-idempotent: no\r\ncontent-length: 4\r\n\r\nbody')
  const ports = [[node?.peersPort ?? 0, peer], [node?.callersPort ?? 0, caller]] as const
  for (const [port, valid] of ports) {
    await fc.assert(fc.asyncProperty(mutate(valid), async bytes => {
      const text = await exchange(port, bytes)
      assert.ok(text === '' || statuses.test(text), text.slice(0, 80))
    }), { seed, numRuns: runs })
  }
  const answer = await request(`http://${ip}:${node?.callersPort ?? 0}/~orders/after`)
  assert.is(await answer.body.text(), 'answer to /after')
  await cluster.close()
})

fuzz('mutated and truncated control messages issue no ticket of another service, and the node keeps issuing tickets', async () => {
  const cluster = await createEchoCluster()
  const session = connectHttp2(`http://${ip}:${cluster.nodes[0]?.controlPort ?? 0}`)
  const sendRequest = async (body: Buffer): Promise<{ status: number, bytes: Buffer }> => await new Promise((resolve, reject) => {
    const stream = session.request({ [constants.HTTP2_HEADER_METHOD]: 'POST', [constants.HTTP2_HEADER_PATH]: '/auburnturn.v1.Tickets/Issue', 'content-type': 'application/proto', 'connect-protocol-version': '1' })
    let status = 0
    const chunks: Buffer[] = []
    stream.on('response', headers => { status = Number(headers[constants.HTTP2_HEADER_STATUS]) })
    stream.on('data', (chunk: Buffer) => chunks.push(chunk))
    stream.on('end', () => { resolve({ status, bytes: Buffer.concat(chunks) }) })
    stream.on('error', reject)
    stream.end(body)
  })
  const valid = Buffer.from('\n\x06orders', 'latin1')
  const issued = await sendRequest(valid)
  assert.is(issued.status, 200)
  await fc.assert(fc.asyncProperty(mutate(valid), async body => {
    const { status, bytes } = await sendRequest(body)
    if (status === 200) assert.ok(body.includes('orders') && bytes.includes('orders-1.'), body.toString('hex'))
  }), { seed, numRuns: runs })
  assert.is((await sendRequest(valid)).status, 200)
  session.close()
  await cluster.close()
})

fuzz.run()
