/** Measures the latency that one node and two nodes add to a call, and the throughput and processor time of one node. */
import { parseArgs } from 'node:util'
import { PlatformService } from '@auburnturn/stand-ins'
import { comparisonShare, ip, ratePerVariant, saturatingConcurrency, warmUpCalls, warmUpSeconds } from './constants.js'
import { createVariant, runClosedLoop, runOpenLoop, sendCall } from './load.js'
import type { Variant } from './load.js'
import { findFreePorts, ProcessGroup, readCpuMs, readResidentMb } from './process-group.js'
import { describeLatencies, reportFigures, round } from './report.js'
import type { Figure } from './report.js'

const { values } = parseArgs({ args: process.argv.slice(3), options: { seconds: { type: 'string', default: '30' } } })
const seconds = Math.min(50, Math.max(2, Number(values.seconds)))
const processes = ProcessGroup.create()
const platform = await PlatformService.create()
try {
  reportFigures(await measure())
} finally {
  await processes.close()
  await platform.close()
}

async function measure (): Promise<Figure[]> {
  const upstreamPort = await processes.startUpstream()
  const firstPorts = await findFreePorts()
  const secondPorts = await findFreePorts()
  platform.publish('profile/bench', '{ "admission": { "localBelow": 1, "slots": 1000, "queue": 1000 }, "idempotency": { "methods": ["POST"] } }')
  platform.publish('service/orders', '{ "profile": "bench" }')
  platform.setMembers([
    { id: 'orders-1', service: 'orders', region: 'bench', failureDomain: 'bench-a', ip, peerPort: firstPorts.peers, controlPort: firstPorts.control, state: 'live' }
  ])
  const node = await processes.startDaemon('orders-1', 'orders', firstPorts, upstreamPort, platform.port)
  await processes.startDaemon('stock-1', 'stock', secondPorts, upstreamPort, platform.port)
  const idleMemoryMb = readResidentMb(node)
  const direct = createVariant('direct', upstreamPort, '/')
  const pipe = createVariant('a raw pipe', await processes.startPipe(upstreamPort), '/')
  const oneNode = createVariant('one node', firstPorts.callers, '/~orders/')
  const twoNodes = createVariant('two nodes', secondPorts.callers, '/~orders/')
  for (const variant of [direct, pipe, oneNode, twoNodes]) await warmUp(variant)
  const variants = [direct, pipe, oneNode, twoNodes]
  await runOpenLoop(variants, ratePerVariant * variants.length, warmUpSeconds)
  for (const { latencies } of variants) latencies.reset()
  await runOpenLoop(variants, ratePerVariant * variants.length, seconds * comparisonShare)
  const latencyFigures = describeLatencies(direct, [pipe, oneNode, twoNodes])
  return [...latencyFigures, ...await measureSaturated(node, oneNode, seconds * (1 - comparisonShare)), ...describeMemory(node, idleMemoryMb), countFailures(variants)]
}

async function warmUp (variant: Variant): Promise<void> {
  for (let sent = 0; sent < warmUpCalls; sent += 20) await Promise.all(Array.from({ length: 20 }, async () => await sendCall(variant)))
}

async function measureSaturated (pid: number, variant: Variant, durationSeconds: number): Promise<Figure[]> {
  const before = readCpuMs(pid)
  const callsPerSecond = await runClosedLoop(variant, saturatingConcurrency, durationSeconds)
  const cpuMs = readCpuMs(pid) - before
  return [
    { what: 'calls carried by one node', value: Math.round(callsPerSecond), unit: '1/s' },
    { what: 'processor time of the node for a call', value: round(cpuMs * 1000 / (callsPerSecond * durationSeconds)), unit: 'us' },
    { what: 'processor share of the node', value: round(cpuMs / (durationSeconds * 1000)), unit: 'cores' }
  ]
}

function describeMemory (pid: number, idleMemoryMb: number): Figure[] {
  return [
    { what: 'resident memory, idle', value: idleMemoryMb, unit: 'MB' },
    { what: 'resident memory, under load', value: readResidentMb(pid), unit: 'MB' }
  ]
}

function countFailures (variants: readonly Variant[]): Figure {
  return { what: 'calls that failed', value: variants.reduce((sum, { failures }) => sum + failures, 0), unit: '' }
}
