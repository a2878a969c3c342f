/** What one node and two add to a call, how many calls one node carries, and at what cost. */
import { parseArgs } from 'node:util'
import { PlatformService } from '@auburnturn/stand-ins'
import { comparisonShare, ip, ratePerWay, saturatingCalls, warmUpCalls, warmUpSeconds } from './constants.js'
import { createWay, runClosedLoop, runOpenLoop, sendCall } from './load.js'
import type { Way } from './load.js'
import { findPorts, Processes, readProcessorMs, readResidentMb } from './processes.js'
import { describeWays, printFigures, round } from './report.js'
import type { Figure } from './report.js'

const { values } = parseArgs({ args: process.argv.slice(3), options: { seconds: { type: 'string', default: '30' } } })
const seconds = Math.min(50, Math.max(2, Number(values.seconds)))
const processes = Processes.create()
const platform = await PlatformService.create()
try {
  printFigures(await measure())
} finally {
  await processes.close()
  await platform.close()
}

async function measure (): Promise<Figure[]> {
  const upstreamPort = await processes.startUpstream()
  const near = await findPorts()
  const far = await findPorts()
  platform.publish('profile/bench', '{ "admission": { "localBelow": 1, "slots": 1000, "queue": 1000 }, "idempotency": { "methods": ["POST"] } }')
  platform.publish('service/orders', '{ "profile": "bench" }')
  platform.setMembers([
    { id: 'orders-1', service: 'orders', region: 'bench', failureDomain: 'bench-a', ip, peerPort: near.peers, controlPort: near.control, state: 'live' }
  ])
  const node = await processes.startDaemon('orders-1', 'orders', near, upstreamPort, platform.port)
  await processes.startDaemon('stock-1', 'stock', far, upstreamPort, platform.port)
  const idleMb = readResidentMb(node)
  const direct = createWay('direct', upstreamPort, '/')
  const pipe = createWay('a raw pipe', await processes.startPipe(upstreamPort), '/')
  const one = createWay('one node', near.callers, '/~orders/')
  const two = createWay('two nodes', far.callers, '/~orders/')
  for (const way of [direct, pipe, one, two]) await warmUp(way)
  const ways = [direct, pipe, one, two]
  await runOpenLoop(ways, ratePerWay * ways.length, warmUpSeconds)
  for (const { latencies } of ways) latencies.reset()
  await runOpenLoop(ways, ratePerWay * ways.length, seconds * comparisonShare)
  const compared = describeWays(direct, [pipe, one, two])
  return [...compared, ...await saturate(node, one, seconds * (1 - comparisonShare)), ...describeMemory(node, idleMb), countFailures(ways)]
}

async function warmUp (way: Way): Promise<void> {
  for (let sent = 0; sent < warmUpCalls; sent += 20) await Promise.all(Array.from({ length: 20 }, async () => await sendCall(way)))
}

async function saturate (pid: number, way: Way, time: number): Promise<Figure[]> {
  const before = readProcessorMs(pid)
  const callsPerSecond = await runClosedLoop(way, saturatingCalls, time)
  const usedMs = readProcessorMs(pid) - before
  return [
    { what: 'calls carried by one node', value: Math.round(callsPerSecond), unit: '1/s' },
    { what: 'processor time of the node for a call', value: round(usedMs * 1000 / (callsPerSecond * time)), unit: 'us' },
    { what: 'processor share of the node', value: round(usedMs / (time * 1000)), unit: 'cores' }
  ]
}

function describeMemory (pid: number, idleMb: number): Figure[] {
  return [
    { what: 'resident memory, idle', value: idleMb, unit: 'MB' },
    { what: 'resident memory, under load', value: readResidentMb(pid), unit: 'MB' }
  ]
}

function countFailures (ways: readonly Way[]): Figure {
  return { what: 'calls that failed', value: ways.reduce((sum, { failures }) => sum + failures, 0), unit: '' }
}
