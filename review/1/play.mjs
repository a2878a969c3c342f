import { Agent } from 'node:http'
import { Deployment, runCase } from '../stand-ins/deployment.mjs'
import { send } from '../stand-ins/consumer.mjs'
import { sleep } from '../stand-ins/net.mjs'

const route = { name: 'stock-check', host: 'desk.example', prefix: '/stock/', route_type: 'idempotent', timeout_ms: 5_000, slo_latency_ms: 1_500, service: 'inventory' }

/** Time limit of the consumers, in milliseconds. */
const limitMs = 10_000

/** Consumers of each machine, each with a connection that it keeps. */
const consumers = 8
const playMs = 40_000

/** Of the answers of the faulty target, each fiftieth has no end. */
const answersForEachEndless = 50
const faultyTargets = 2

/** From this many machines on, a day counts 0 if on each of them processes have ended by themselves this often. */
const faultMachines = 2
const faultEnds = 3

/** Size of the chunks that have no end, in bytes. */
const chunkBytes = Number(process.env.CHUNK ?? 8)
const piece = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(10_000)

/** Sends chunks until the caller closes the connection. */
function sendForever (socket) {
  const write = () => {
    while (!socket.destroyed && socket.write(piece));
    if (!socket.destroyed) socket.once('drain', write)
  }
  socket.on('error', () => {})
  write()
}

/** Makes a target send bytes without end in the body of some answers. */
function makeEndless (target, record) {
  const run = target.run.bind(target)
  let answers = 0
  target.run = parts => {
    if (++answers % answersForEachEndless !== 0) return run(parts)
    const { response, attempt, head } = parts
    record(`${target.id} answers ${attempt} without end`)
    const lines = Object.entries({ ...head, 'x-attempt-id': attempt, 'x-response-seal': `seal.${target.id}`, 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}\r\n`)
    response.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`)
    sendForever(response.socket)
  }
}

await runCase(async () => {
  const disrupted = process.env.TROUBLE !== '0'
  const deployment = await Deployment.create({ caseFolder: import.meta.dirname, services: ['inventory', 'inventory', 'inventory', 'inventory'], routes: [route], options: { workMs: 550 } })
  const { machines, targets, record } = deployment
  if (disrupted) for (const target of targets.slice(0, faultyTargets)) makeEndless(target, record)
  const endsAt = Date.now() + playMs
  const requests = []
  const consume = async machine => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (Date.now() < endsAt) {
      if (machine.isIn) requests.push(await send({ machine, host: route.host, path: '/stock/all', limitMs, record, agent }))
      await sleep(50)
    }
    agent.destroy()
  }
  await Promise.all(machines.flatMap(machine => Array.from({ length: consumers }, async () => { await consume(machine) })))
  const ends = machines.map(({ ends }) => [...ends])
  await deployment.close()
  for (const { name, output } of machines) for (const line of output.split('\n')) if (line.includes('FATAL ERROR')) record(`${name}: ${line}`)
  const failing = ends.filter(({ length }) => length >= faultEnds).length
  const unanswered = requests.filter(({ status }) => status === 0).length
  console.log(`processes ended by themselves: ${ends.map(list => list.map(({ code, signal }) => signal ?? code).join(' ') || 'none').join(', ')}; ${requests.length} requests, ${unanswered} cut without an answer`)
  return failing >= faultMachines
})
