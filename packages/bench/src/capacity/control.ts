import { fitLine } from '../control/numbers.js'
import { getNumber } from '../results.js'
import type { ResultRow } from '../results.js'
import { target } from './target.js'

/** What control costs at the target's size, extrapolated from the control bench. */
export interface ControlFigures {
  readonly largest: ResultRow
  readonly sizes: readonly ResultRow[]
  readonly bytesPerSecond: number
  readonly bytesPerDoubling: number
  readonly core: number
  readonly measuredSteadyCore: number
  readonly residentMegabytes: number
  readonly idleMegabytes: number
  readonly heldMegabytes: number
  readonly readsPerSecond: number
  readonly lastNodeMs: number
  readonly firstCopyBytes: number
  readonly firstCopySeconds: number
}

const changesPerSecond = target.changesPerDay / 86_400
const memberChangesPerSecond = (2 * target.failingPerDay + 2 * target.restartsPerDay) / 86_400
const megabyte = 1_048_576

/** Extrapolates every figure of the target from the rows of control.json. */
export function extrapolateControl (rows: readonly ResultRow[]): ControlFigures {
  const sizes = rows.filter(row => row.case === 'fleet')
  const memory = rows.find(row => row.case === 'memory')
  const daemon = rows.find(row => row.case === 'daemon')
  const largest = sizes[sizes.length - 1] as ResultRow
  const updates = changesPerSecond + memberChangesPerSecond
  const perNode = fitLog(sizes, 'bytesPerNodeAndChange')
  const steady = fitLog(sizes, 'idleBytesPerNodePerSecond')
  const nodes = target.nodes / target.failureDomains * sizesPerDomain
  const bytesPerSecond = atSize(steady, nodes) + atSize(perNode, nodes) * updates
  const heldBytes = target.nodes * getNumber(memory, 'bytesPerTarget') + target.services * getNumber(memory, 'bytesPerService') +
    profiles * getNumber(memory, 'bytesPerProfile') + peersOf(target.nodes / target.failureDomains) * getNumber(memory, 'bytesPerPeer')
  const idleMegabytes = getNumber(daemon, 'residentMegabytes')
  const readsPerReader = getNumber(largest, 'readsPerChange') / getNumber(largest, 'readers')
  const firstCopyBytes = getNumber(memory, 'copyBytes')
  return {
    largest,
    sizes,
    bytesPerSecond,
    bytesPerDoubling: (steady.slope + perNode.slope * updates) * Math.log(2),
    core: getNumber(largest, 'idleCorePerNode') + getNumber(largest, 'cpuMsPerNodeAndChange') / 1000 * updates + getNumber(memory, 'memberChangeMs') / 1000 * memberChangesPerSecond,
    measuredSteadyCore: getNumber(daemon, 'idleCore'),
    residentMegabytes: idleMegabytes + heldBytes / megabyte,
    idleMegabytes,
    heldMegabytes: heldBytes / megabyte,
    readsPerSecond: readers * (readsPerReader * updates + 2 * 1000 / watchMs),
    lastNodeMs: getNumber(largest, 'lastNodeMaxMs') * Math.log(target.nodes / target.failureDomains) / Math.log(getNumber(largest, 'nodes') / sizesPerDomain),
    firstCopyBytes,
    firstCopySeconds: firstCopyBytes / relayBytesPerSecond
  }
}

/** Failure domains of the bench's fleets. */
const sizesPerDomain = 3
const readers = 2 * target.failureDomains
const profiles = 200
/** Watch of the platform and sustained bytes of the relay, as in core/platform and core/relay. */
const watchMs = 10_000
const relayBytesPerSecond = 5_000

/** Connections kept by one node: partners, both trees' children, and as many inbound. */
function peersOf (members: number): number {
  const fanOut = 4
  return 2 * (Math.ceil(Math.log(members) / Math.log(fanOut)) + 2 * fanOut)
}

interface Fit { readonly slope: number, readonly intercept: number, readonly last: number }

function fitLog (rows: readonly ResultRow[], field: string): Fit {
  const fit = fitLine(rows.map(row => [Math.log(getNumber(row, 'nodes')), getNumber(row, field)] as const))
  return { ...fit, last: getNumber(rows[rows.length - 1], field) }
}

/** Along the slope, but never below the largest fleet measured: a falling slope is not trusted beyond it. */
function atSize ({ slope, intercept, last }: Fit, nodes: number): number {
  return Math.max(last, intercept + slope * Math.log(nodes))
}
