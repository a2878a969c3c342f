import { extrapolateControl } from './control.js'
import type { ControlFigures } from './control.js'
import { numberOf, readResults } from './results.js'
import type { Row } from './results.js'
import { target } from './target.js'

/** The tables of docs/CAPACITY.md by the name of their markers, from the committed results. */
export function makeTables (): ReadonlyMap<string, string> {
  const control = readResults('control')
  if (control.length === 0) return new Map(['targets', 'roles', 'slopes'].map(name => [name, 'Not measured yet: no results/control.json.']))
  const figures = extrapolateControl(control)
  const path = readResults('path')
  return new Map([
    ['targets', makeTargets(figures, path)],
    ['roles', makeRoles(figures)],
    ['slopes', makeSlopes(figures)]
  ])
}

function makeTargets (figures: ControlFigures, path: readonly Row[]): string {
  const { largest } = figures
  const reads = figures.readsPerSecond
  const bounds: ReadonlyArray<readonly [string, string, boolean | undefined, string]> = [
    [`a change in force everywhere within ${target.inForceMs / 1000} s`, `${round(numberOf(largest, 'lastNodeMaxMs'))} ms at most at ${numberOf(largest, 'nodes')} nodes on one machine; ${round(figures.lastNodeMs)} ms by the depth of the tree`, figures.lastNodeMs < target.inForceMs, 'wide-area delays; a text near 1 MB, which the bytes bound slows down'],
    [`control bytes ≤ ${target.bytesPerSecond} a second and node`, `${round(figures.bytesPerSecond)} in steady state, ${round(figures.bytesPerDoubling)} more for each doubling of the fleet`, figures.bytesPerSecond < target.bytesPerSecond, 'the first copy below'],
    ['first copy of everything for a starting node', `${round(figures.firstCopyBytes / 1024)} KiB: ${round(figures.firstCopySeconds)} s at the sustained rate, less within the burst`, undefined, 'a share by services called, so that a node copies only what it needs'],
    [`control ≤ ${100 * target.coreShare}% of a core`, `${percent(figures.core)} for the relay from the fleet's slope, ${percent(figures.measuredSteadyCore)} for an idle daemon`, figures.core + figures.measuredSteadyCore < target.coreShare, 'a run of hours'],
    [`control ≤ ${target.megabytes} MB`, `${round(figures.idleMegabytes)} MB idle daemon + ${round(figures.heldMegabytes)} MB for all targets, services and peers = ${round(figures.residentMegabytes)} MB`, figures.residentMegabytes < target.megabytes, 'room for calls in flight and recorded answers is not in this figure'],
    [`platform reads ≤ ${100 * target.readShare}% of ${target.platformReadsPerSecond} a second`, `${round(reads)} a second in steady state; a restart of all is bounded to 200 by the share of each node`, reads < target.platformReadsPerSecond * target.readShare, '`platformReads.fleetSize` must be set to the size of the fleet'],
    [`${target.addedMs} ms added for 99 in 100 calls`, describePath(path), undefined, 'see the path bench'],
    [`${target.callsPerSecond / 1e6} M calls a second up to ${target.depth} deep`, `${round(target.callsPerSecond / target.nodes)} calls a second and node`, undefined, 'a run at that rate on machines of their own; only the rate of one node can be measured here'],
    [`${target.failingPerDay} VMs fail, ${target.restartsPerDay} restart a day`, `${round((2 * target.failingPerDay + 2 * target.restartsPerDay) / 864) / 100} list changes a second, in the bytes and core above`, true, 'nothing known'],
    ['a rack, a failure domain, regions apart an hour', 'tests with silent readers, parted regions and restarts of all (`packages/stand-ins/test`)', undefined, 'a loss of 860 nodes at once was not run at size']
  ]
  const rows = bounds.map(([name, figure, carried, missing]) => `| ${name} | ${figure} | ${verdict(carried)} | ${missing} |`)
  return ['| Target | Figure | Carried | Missing |', '|---|---|---|---|', ...rows].join('\n')
}

function makeRoles (figures: ControlFigures): string {
  const { largest } = figures
  const updates = target.changesPerDay / 86_400
  const perChange = round(numberOf(largest, 'bytesPerNodeAndChange'))
  const rows = [
    ['Configuration reader', `2 a failure domain, ${2 * target.failureDomains} in all; everything a follower holds`, `${round(100 * figures.readsPerSecond / 2 / target.failureDomains) / 100} reads a second each`, `${round(figures.readsPerSecond)} reads a second in all`, 'rendezvous hash over the members that each node sees; token bucket with jitter'],
    ['Relay follower', `all entries and lists: ${round(figures.heldMegabytes)} MB`, `${round(100 * numberOf(largest, 'idleMessagesPerNodePerSecond')) / 100} a second idle, ${round(100 * numberOf(largest, 'messagesPerNodeAndChange')) / 100} a change`, `${round(perChange)} bytes and ${round(100 * numberOf(largest, 'cpuMsPerNodeAndChange')) / 100} ms a change, ${round(100 * updates) / 100} changes a second`, 'trees of fan-out 4; digests, then (key, version) pairs'],
    ['Membership', '1,900 lists of 10 targets, in the MB above', 'as list changes through the relay', 'in the bytes above', 'list, own word, results (`core/membership`)'],
    ['Router', 'see the routing bench', 'rides on calls', 'routing.json, when it is there', 'two choices among reports that age'],
    ['Admission', 'slots and queue of one upstream', 'none of its own', 'path.json, when it is there', 'local decision'],
    ['Ledger', 'recorded answers, bounded by the profile (16 MB by default)', 'none of its own', 'not measured here', 'one target and incarnation per ticket'],
    ['Operator', 'a dump on request', 'one answer a request', 'not measured', 'loopback HTTP']
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
  const head = `| Figure | ${sizes.map(row => `${numberOf(row, 'nodes')} nodes`).join(' | ')} |`
  const rows = fields.map(([name, field, digits]) => `| ${name} | ${sizes.map(row => numberOf(row, field).toFixed(digits)).join(' | ')} |`)
  return [head, `|---|${sizes.map(() => '---|').join('')}`, ...rows].join('\n')
}

function describePath (path: readonly Row[]): string {
  return path.length === 0 ? 'no path.json yet' : `${path.length} cases in results/path.json; judged on the page of the path bench`
}

function verdict (carried: boolean | undefined): string {
  if (carried === undefined) return 'not shown'
  return carried ? 'carried, extrapolated' : 'not yet'
}

function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}

function percent (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}
