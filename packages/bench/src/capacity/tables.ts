import { estimateControl } from './control-estimate.js'
import type { ControlEstimate } from './control-estimate.js'
import { getNumber, readResults } from '../results.js'
import { readComponentCosts } from './component-costs.js'
import type { ComponentCosts } from './component-costs.js'
import { capacityTarget } from './capacity-target.js'

/** Creates the tables of docs/CAPACITY.md from the committed results; the keys are the names of their markers. */
export function createTables (): ReadonlyMap<string, string> {
  const control = readResults('control')
  if (control.length === 0) return new Map(['targets', 'roles', 'slopes'].map(name => [name, 'Not measured yet: no results/control.json.']))
  const estimate = estimateControl(control)
  const costs = readComponentCosts()
  return new Map([
    ['targets', createTargetTable(estimate, costs)],
    ['roles', createRoleTable(estimate, costs)],
    ['slopes', createFleetSizeTable(estimate)]
  ])
}

function createTargetTable (estimate: ControlEstimate, costs: ComponentCosts): string {
  const { largestFleet } = estimate
  const callsPerNode = capacityTarget.callsPerSecond / capacityTarget.nodes
  const reads = estimate.platformReadsPerSecond
  const bounds: ReadonlyArray<readonly [string, string, boolean | undefined, string]> = [
    [`a change in force everywhere within ${capacityTarget.configurationDelayMs / 1000} s`, `${round(getNumber(largestFleet, 'lastNodeMaxMs'))} ms at most at ${getNumber(largestFleet, 'nodes')} nodes on one machine; ${round(estimate.lastNodeDelayMs)} ms by the depth of the tree`, estimate.lastNodeDelayMs < capacityTarget.configurationDelayMs, 'wide-area delays; a text near 1 MB, which the bytes bound slows down'],
    ['last node within 2 s at 200 nodes', `${round(getNumber(largestFleet, 'lastNodeMaxMs'))} ms at most, ${round(getNumber(largestFleet, 'lastNodeP50Ms'))} ms at p50, at ${getNumber(largestFleet, 'nodes')} nodes`, getNumber(largestFleet, 'lastNodeMaxMs') <= 2_000, 'a push that is lost while one processor carries all nodes waits for a comparison'],
    ['no growth of a node\'s bytes beyond log n', `${estimate.fleets.map(row => round(getNumber(row, 'idleBytesPerNodePerSecond'))).join(', ')} a second at rest`, false, 'notices that differ after many starts at once; the bytes of a change do not grow'],
    [`control bytes ≤ ${capacityTarget.controlBytesPerSecond} a second and node`, `${round(estimate.controlBytesPerSecond)} in steady state, ${describeGrowth(estimate.bytesPerSecondPerDoubling)} with each doubling of the fleet`, estimate.controlBytesPerSecond < capacityTarget.controlBytesPerSecond, 'the first copy below'],
    ['first copy of everything for a starting node', `${round(estimate.initialCopyBytes / 1024)} KiB: ${round(estimate.initialCopySeconds)} s at the sustained rate, less within the burst`, undefined, 'a share by services called, so that a node copies only what it needs'],
    [`control ≤ ${100 * capacityTarget.coreShare}% of a core`, `${formatPercent(estimate.coreShare)} for the relay from the fleet's slope, ${formatPercent(estimate.idleDaemonCoreShare)} for an idle daemon`, estimate.coreShare + estimate.idleDaemonCoreShare < capacityTarget.coreShare, 'a run of hours'],
    [`control ≤ ${capacityTarget.memoryMegabytes} MB`, `${round(estimate.idleDaemonMegabytes)} MB idle daemon + ${round(estimate.stateMegabytes)} MB for all targets, services and peers = ${round(estimate.totalMegabytes)} MB`, estimate.totalMegabytes < capacityTarget.memoryMegabytes, `room for calls and recorded answers is not in this figure: a saturated node held ${costs.saturatedMegabytes} MB`],
    [`platform reads ≤ ${100 * capacityTarget.platformReadShare}% of ${capacityTarget.platformReadsPerSecond} a second`, `${round(reads)} a second in steady state; a restart of all is bounded to 200 by the share of each node`, reads < capacityTarget.platformReadsPerSecond * capacityTarget.platformReadShare, '`platformReads.fleetSize` must be set to the size of the fleet'],
    [`${capacityTarget.addedLatencyMs} ms added for 99 in 100 calls`, `${costs.addedLatencyMs} ms added by one node, ${costs.pipeAddedLatencyMs} ms by a raw pipe in its place`, costs.addedLatencyMs <= capacityTarget.addedLatencyMs, 'the time between the floor of a pipe and ours'],
    [`${capacityTarget.callsPerSecond / 1e6} M calls a second up to ${capacityTarget.callDepth} deep`, `${round(callsPerNode)} calls a second and node; one node carries ${costs.maxCallsPerSecond}, at ${costs.cpuUsPerCall} µs a call`, costs.maxCallsPerSecond > callsPerNode, 'a run of many nodes on machines of their own'],
    ['answers to tickets for the whole window of a profile, at that rate', `${costs.callsPerWindow} calls of ${costs.ledgerBytesPerCall} bytes, ${costs.maxRecordedCalls} fit in the default memory`, costs.maxRecordedCalls >= costs.callsPerWindow, 'smaller records, or a shorter window; beyond the memory a resend hears "may have run", which is safe'],
    [`${capacityTarget.vmFailuresPerDay} VMs fail, ${capacityTarget.vmRestartsPerDay} restart a day`, `${((2 * capacityTarget.vmFailuresPerDay + 2 * capacityTarget.vmRestartsPerDay) / 86_400).toFixed(3)} list changes a second, in the bytes and core above`, true, 'nothing known'],
    ['a rack, a failure domain, regions apart an hour', 'tests with silent readers, parted regions and restarts of all (`packages/stand-ins/test`)', undefined, 'a loss of 860 nodes at once was not run at size']
  ]
  const rows = bounds.map(([name, figure, carried, missing]) => `| ${name} | ${figure} | ${describeResult(carried)} | ${missing} |`)
  return ['| Target | Figure | Carried | Missing |', '|---|---|---|---|', ...rows].join('\n')
}

function createRoleTable (estimate: ControlEstimate, costs: ComponentCosts): string {
  const { largestFleet } = estimate
  const configurationChangesPerSecond = capacityTarget.configurationChangesPerDay / 86_400
  const callsPerNode = capacityTarget.callsPerSecond / capacityTarget.nodes
  const listChangesPerSecond = 2 * (capacityTarget.vmFailuresPerDay + capacityTarget.vmRestartsPerDay) / 86_400
  const bytesPerChange = round(getNumber(largestFleet, 'bytesPerNodeAndChange'))
  const rows = [
    ['Configuration reader', `2 a failure domain, ${2 * capacityTarget.failureDomains} in all; everything a follower holds`, `${round(100 * estimate.platformReadsPerSecond / 2 / capacityTarget.failureDomains) / 100} reads a second each`, `${round(estimate.platformReadsPerSecond)} reads a second in all`, 'rendezvous hash over the members that each node sees; token bucket with jitter'],
    ['Relay follower', `all entries and lists: ${round(estimate.stateMegabytes)} MB`, `${round(100 * getNumber(largestFleet, 'idleMessagesPerNodePerSecond')) / 100} a second idle, ${round(100 * getNumber(largestFleet, 'messagesPerNodeAndChange')) / 100} a change`, `${round(bytesPerChange)} bytes and ${round(100 * getNumber(largestFleet, 'cpuMsPerNodeAndChange')) / 100} ms a change, ${round(100 * configurationChangesPerSecond) / 100} changes a second`, 'trees of fan-out 4; digests, then (key, version) pairs'],
    ['Membership', `${costs.bytesPerMember} bytes a target, ${formatMegabytes(costs.bytesPerMember * capacityTarget.nodes)} MB in all`, 'as list changes through the relay', `${costs.listChangeUs} µs a list that changes, ${listChangesPerSecond.toFixed(3)} lists a second`, 'list, own word, results (`core/membership`)'],
    ['Router', `${costs.candidateStateBytes} bytes a target chosen from, ${formatMegabytes(costs.candidateStateBytes * capacityTarget.nodes)} MB if every service is called`, 'rides on calls; probes within the profile\'s budget', `${costs.routingUsPerCall} µs to choose and learn, ${formatCoreShare(costs.routingUsPerCall * callsPerNode)} of a core`, 'costs of calls in flight, latency, errors and age over a bounded subset'],
    ['Calls', 'connections, and bodies as they pass', 'one hop where the entry node may run the call', `${costs.cpuUsPerCall} µs a call, ${formatCoreShare(costs.cpuUsPerCall * callsPerNode)} of a core`, '`http` and undici with raw heads, no copies'],
    ['Admission', `${costs.bytesPerQueuedCall} bytes a waiting call, 40 at most by default`, 'none of its own', `${costs.admissionUsPerCall} µs a call`, 'local decision'],
    ['Ledger', `${costs.ledgerBytesPerCall} bytes a remembered call, 16 MB at most by default`, 'one to fetch a ticket', `${costs.ledgerUsPerCall} µs a ticketed call`, 'one target and incarnation per ticket'],
    ['Operator', `${Math.round(costs.serviceDumpBytes * capacityTarget.services / 1024)} KiB for the members in a dump`, 'one answer a request', `${round(costs.serviceDumpUs * capacityTarget.services / 1000)} ms a dump of them`, 'loopback HTTP']
  ]
  return ['| Role | State | Messages | Cost | Mechanism |', '|---|---|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

function createFleetSizeTable ({ fleets }: ControlEstimate): string {
  const fields: ReadonlyArray<readonly [string, string, number]> = [
    ['last node, p50 ms', 'lastNodeP50Ms', 0],
    ['last node, max ms', 'lastNodeMaxMs', 0],
    ['bytes/s idle, a node', 'idleBytesPerNodePerSecond', 0],
    ['bytes a node and change', 'bytesPerNodeAndChange', 0],
    ['messages a node and change', 'messagesPerNodeAndChange', 2],
    ['CPU ms a message', 'cpuMsPerMessage', 2],
    ['idle core a node', 'idleCorePerNode', 4],
    ['platform reads/s idle', 'idleReadsPerSecond', 2],
    ['platform reads a change', 'readsPerChange', 1],
    ['reads of a restart of all', 'restartReads', 0],
    ['peak reads/s of it', 'restartPeakReadsPerSecond', 0]
  ]
  const head = `| Figure | ${fleets.map(row => `${getNumber(row, 'nodes')} nodes`).join(' | ')} |`
  const rows = fields.map(([name, field, digits]) => `| ${name} | ${fleets.map(row => getNumber(row, field).toFixed(digits)).join(' | ')} |`)
  return [head, `|---|${fleets.map(() => '---|').join('')}`, ...rows].join('\n')
}

function formatMegabytes (bytes: number): string {
  return (bytes / 1e6).toFixed(1)
}

/** Formats the share of a core that is used by the given microseconds of processor time per second. */
function formatCoreShare (microseconds: number): string {
  return formatPercent(microseconds / 1e6)
}

function describeGrowth (bytes: number): string {
  return bytes > 0 ? `${round(bytes)} more` : 'no more'
}

function describeResult (carried: boolean | undefined): string {
  if (carried === undefined) return 'not shown'
  return carried ? 'carried, see the figure' : 'not yet'
}

function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}

function formatPercent (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}
