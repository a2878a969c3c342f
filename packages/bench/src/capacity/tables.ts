import { extrapolateControl } from './control.js'
import type { ControlFigures } from './control.js'
import { getNumber, readResults } from '../results.js'
import { readParts } from './parts.js'
import type { PartFigures } from './parts.js'
import { target } from './target.js'

/** The tables of docs/CAPACITY.md by the name of their markers, from the committed results. */
export function makeTables (): ReadonlyMap<string, string> {
  const control = readResults('control')
  if (control.length === 0) return new Map(['targets', 'roles', 'slopes'].map(name => [name, 'Not measured yet: no results/control.json.']))
  const figures = extrapolateControl(control)
  const parts = readParts()
  return new Map([
    ['targets', makeTargets(figures, parts)],
    ['roles', makeRoles(figures, parts)],
    ['slopes', makeSlopes(figures)]
  ])
}

function makeTargets (figures: ControlFigures, parts: PartFigures): string {
  const { largest } = figures
  const callsPerNode = target.callsPerSecond / target.nodes
  const reads = figures.readsPerSecond
  const bounds: ReadonlyArray<readonly [string, string, boolean | undefined, string]> = [
    [`a change in force everywhere within ${target.inForceMs / 1000} s`, `${round(getNumber(largest, 'lastNodeMaxMs'))} ms at most at ${getNumber(largest, 'nodes')} nodes on one machine; ${round(figures.lastNodeMs)} ms by the depth of the tree`, figures.lastNodeMs < target.inForceMs, 'wide-area delays; a text near 1 MB, which the bytes bound slows down'],
    ['last node within 2 s at 200 nodes', `${round(getNumber(largest, 'lastNodeMaxMs'))} ms at most, ${round(getNumber(largest, 'lastNodeP50Ms'))} ms at p50, at ${getNumber(largest, 'nodes')} nodes`, getNumber(largest, 'lastNodeMaxMs') <= 2_000, 'a push that is lost while one processor carries all nodes waits for a comparison'],
    ['no growth of a node\'s bytes beyond log n', `${figures.sizes.map(row => round(getNumber(row, 'idleBytesPerNodePerSecond'))).join(', ')} a second at rest`, false, 'notices that differ after many starts at once; the bytes of a change do not grow'],
    [`control bytes ≤ ${target.bytesPerSecond} a second and node`, `${round(figures.bytesPerSecond)} in steady state, ${describeGrowth(figures.bytesPerDoubling)} with each doubling of the fleet`, figures.bytesPerSecond < target.bytesPerSecond, 'the first copy below'],
    ['first copy of everything for a starting node', `${round(figures.firstCopyBytes / 1024)} KiB: ${round(figures.firstCopySeconds)} s at the sustained rate, less within the burst`, undefined, 'a share by services called, so that a node copies only what it needs'],
    [`control ≤ ${100 * target.coreShare}% of a core`, `${percent(figures.core)} for the relay from the fleet's slope, ${percent(figures.measuredSteadyCore)} for an idle daemon`, figures.core + figures.measuredSteadyCore < target.coreShare, 'a run of hours'],
    [`control ≤ ${target.megabytes} MB`, `${round(figures.idleMegabytes)} MB idle daemon + ${round(figures.heldMegabytes)} MB for all targets, services and peers = ${round(figures.residentMegabytes)} MB`, figures.residentMegabytes < target.megabytes, `room for calls and recorded answers is not in this figure: a saturated node held ${parts.loadedMegabytes} MB`],
    [`platform reads ≤ ${100 * target.readShare}% of ${target.platformReadsPerSecond} a second`, `${round(reads)} a second in steady state; a restart of all is bounded to 200 by the share of each node`, reads < target.platformReadsPerSecond * target.readShare, '`platformReads.fleetSize` must be set to the size of the fleet'],
    [`${target.addedMs} ms added for 99 in 100 calls`, `${parts.addedMs} ms added by one node, ${parts.pipeAddedMs} ms by a raw pipe in its place`, parts.addedMs <= target.addedMs, 'the time between the floor of a pipe and ours'],
    [`${target.callsPerSecond / 1e6} M calls a second up to ${target.depth} deep`, `${round(callsPerNode)} calls a second and node; one node carries ${parts.carriedPerSecond}, at ${parts.callUs} µs a call`, parts.carriedPerSecond > callsPerNode, 'a run of many nodes on machines of their own'],
    ['answers to tickets for the whole window of a profile, at that rate', `${parts.windowCalls} calls of ${parts.ledgerBytes} bytes, ${parts.heldCalls} fit in the default memory`, parts.heldCalls >= parts.windowCalls, 'smaller records, or a shorter window; beyond the memory a resend hears "may have run", which is safe'],
    [`${target.failingPerDay} VMs fail, ${target.restartsPerDay} restart a day`, `${((2 * target.failingPerDay + 2 * target.restartsPerDay) / 86_400).toFixed(3)} list changes a second, in the bytes and core above`, true, 'nothing known'],
    ['a rack, a failure domain, regions apart an hour', 'tests with silent readers, parted regions and restarts of all (`packages/stand-ins/test`)', undefined, 'a loss of 860 nodes at once was not run at size']
  ]
  const rows = bounds.map(([name, figure, carried, missing]) => `| ${name} | ${figure} | ${verdict(carried)} | ${missing} |`)
  return ['| Target | Figure | Carried | Missing |', '|---|---|---|---|', ...rows].join('\n')
}

function makeRoles (figures: ControlFigures, parts: PartFigures): string {
  const { largest } = figures
  const updates = target.changesPerDay / 86_400
  const callsPerNode = target.callsPerSecond / target.nodes
  const listChanges = 2 * (target.failingPerDay + target.restartsPerDay) / 86_400
  const perChange = round(getNumber(largest, 'bytesPerNodeAndChange'))
  const rows = [
    ['Configuration reader', `2 a failure domain, ${2 * target.failureDomains} in all; everything a follower holds`, `${round(100 * figures.readsPerSecond / 2 / target.failureDomains) / 100} reads a second each`, `${round(figures.readsPerSecond)} reads a second in all`, 'rendezvous hash over the members that each node sees; token bucket with jitter'],
    ['Relay follower', `all entries and lists: ${round(figures.heldMegabytes)} MB`, `${round(100 * getNumber(largest, 'idleMessagesPerNodePerSecond')) / 100} a second idle, ${round(100 * getNumber(largest, 'messagesPerNodeAndChange')) / 100} a change`, `${round(perChange)} bytes and ${round(100 * getNumber(largest, 'cpuMsPerNodeAndChange')) / 100} ms a change, ${round(100 * updates) / 100} changes a second`, 'trees of fan-out 4; digests, then (key, version) pairs'],
    ['Membership', `${parts.memberBytes} bytes a target, ${megabytes(parts.memberBytes * target.nodes)} MB in all`, 'as list changes through the relay', `${parts.listUs} µs a list that changes, ${listChanges.toFixed(3)} lists a second`, 'list, own word, results (`core/membership`)'],
    ['Router', `${parts.candidateBytes} bytes a target chosen from, ${megabytes(parts.candidateBytes * target.nodes)} MB if every service is called`, 'rides on calls; probes within the profile\'s budget', `${parts.choiceUs} µs to choose and learn, ${share(parts.choiceUs * callsPerNode)} of a core`, 'costs of calls in flight, latency, errors and age over a bounded subset'],
    ['Calls', 'connections, and bodies as they pass', 'one hop where the entry node may run the call', `${parts.callUs} µs a call, ${share(parts.callUs * callsPerNode)} of a core`, '`http` and undici with raw heads, no copies'],
    ['Admission', `${parts.waitingBytes} bytes a waiting call, 40 at most by default`, 'none of its own', `${parts.admitUs} µs a call`, 'local decision'],
    ['Ledger', `${parts.ledgerBytes} bytes a remembered call, 16 MB at most by default`, 'one to fetch a ticket', `${parts.settleUs} µs a ticketed call`, 'one target and incarnation per ticket'],
    ['Operator', `${Math.round(parts.dumpBytes * target.services / 1024)} KiB for the members in a dump`, 'one answer a request', `${round(parts.dumpUs * target.services / 1000)} ms a dump of them`, 'loopback HTTP']
  ]
  return ['| Role | State | Messages | Cost | Mechanism |', '|---|---|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

function makeSlopes ({ sizes }: ControlFigures): string {
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
  const head = `| Figure | ${sizes.map(row => `${getNumber(row, 'nodes')} nodes`).join(' | ')} |`
  const rows = fields.map(([name, field, digits]) => `| ${name} | ${sizes.map(row => getNumber(row, field).toFixed(digits)).join(' | ')} |`)
  return [head, `|---|${sizes.map(() => '---|').join('')}`, ...rows].join('\n')
}

function megabytes (bytes: number): string {
  return (bytes / 1e6).toFixed(1)
}

/** Part of a core that so many microseconds a second take. */
function share (microseconds: number): string {
  return percent(microseconds / 1e6)
}

function describeGrowth (bytes: number): string {
  return bytes > 0 ? `${round(bytes)} more` : 'no more'
}

function verdict (carried: boolean | undefined): string {
  if (carried === undefined) return 'not shown'
  return carried ? 'carried, see the figure' : 'not yet'
}

function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}

function percent (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}
