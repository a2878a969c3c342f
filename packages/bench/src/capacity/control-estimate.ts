import { fitLine } from '../control/numbers.js'
import { getNumber } from '../results.js'
import type { ResultRow } from '../results.js'
import { capacityTarget } from './capacity-target.js'

/** Cost of control traffic at the target size, extrapolated from the results of the control bench. */
export interface ControlEstimate {
  /** Results of the largest fleet measured. */
  readonly largestFleet: ResultRow
  readonly fleets: readonly ResultRow[]
  /** Bytes per second of one node in steady state. */
  readonly controlBytesPerSecond: number
  /** Additional bytes per second of one node for each doubling of the fleet. */
  readonly bytesPerSecondPerDoubling: number
  /** Share of a core that the relay of one node uses. */
  readonly coreShare: number
  readonly idleDaemonCoreShare: number
  /** Resident memory of an idle daemon plus `stateMegabytes`. */
  readonly totalMegabytes: number
  readonly idleDaemonMegabytes: number
  /** Memory for all targets, services, profiles and peers. */
  readonly stateMegabytes: number
  /** Reads per second of all readers together. */
  readonly platformReadsPerSecond: number
  /** Time until a change is active on the last node. */
  readonly lastNodeDelayMs: number
  /** Size of the full copy that a starting node fetches, and its duration at the sustained rate of the relay. */
  readonly initialCopyBytes: number
  readonly initialCopySeconds: number
}

const configurationChangesPerSecond = capacityTarget.configurationChangesPerDay / 86_400
const memberChangesPerSecond = (2 * capacityTarget.vmFailuresPerDay + 2 * capacityTarget.vmRestartsPerDay) / 86_400
const bytesPerMegabyte = 1_048_576

/** Extrapolates the cost at the target size from the rows of control.json. */
export function estimateControl (rows: readonly ResultRow[]): ControlEstimate {
  const fleets = rows.filter(row => row.case === 'fleet')
  const memory = rows.find(row => row.case === 'memory')
  const daemon = rows.find(row => row.case === 'daemon')
  const largestFleet = fleets[fleets.length - 1] as ResultRow
  const updatesPerSecond = configurationChangesPerSecond + memberChangesPerSecond
  const changeBytesFit = fitLogarithm(fleets, 'bytesPerNodeAndChange')
  const idleBytesFit = fitLogarithm(fleets, 'idleBytesPerNodePerSecond')
  const equivalentNodes = capacityTarget.nodes / capacityTarget.failureDomains * benchDomainCount
  const controlBytesPerSecond = extrapolateTo(idleBytesFit, equivalentNodes) + extrapolateTo(changeBytesFit, equivalentNodes) * updatesPerSecond
  const stateBytes = capacityTarget.nodes * getNumber(memory, 'bytesPerTarget') + capacityTarget.services * getNumber(memory, 'bytesPerService') +
    profileCount * getNumber(memory, 'bytesPerProfile') + countPeers(capacityTarget.nodes / capacityTarget.failureDomains) * getNumber(memory, 'bytesPerPeer')
  const idleDaemonMegabytes = getNumber(daemon, 'residentMegabytes')
  const readsPerReaderAndChange = getNumber(largestFleet, 'readsPerChange') / getNumber(largestFleet, 'readers')
  const initialCopyBytes = getNumber(memory, 'copyBytes')
  return {
    largestFleet,
    fleets,
    controlBytesPerSecond,
    bytesPerSecondPerDoubling: (idleBytesFit.slope + changeBytesFit.slope * updatesPerSecond) * Math.log(2),
    coreShare: getNumber(largestFleet, 'idleCorePerNode') + getNumber(largestFleet, 'cpuMsPerNodeAndChange') / 1000 * updatesPerSecond + getNumber(memory, 'memberChangeMs') / 1000 * memberChangesPerSecond,
    idleDaemonCoreShare: getNumber(daemon, 'idleCore'),
    totalMegabytes: idleDaemonMegabytes + stateBytes / bytesPerMegabyte,
    idleDaemonMegabytes,
    stateMegabytes: stateBytes / bytesPerMegabyte,
    platformReadsPerSecond: readerCount * (readsPerReaderAndChange * updatesPerSecond + 2 * 1000 / platformWatchMs),
    lastNodeDelayMs: getNumber(largestFleet, 'lastNodeMaxMs') * Math.log(capacityTarget.nodes / capacityTarget.failureDomains) / Math.log(getNumber(largestFleet, 'nodes') / benchDomainCount),
    initialCopyBytes,
    initialCopySeconds: initialCopyBytes / relayBytesPerSecond
  }
}

/** Failure domains of the fleets in the control bench. */
const benchDomainCount = 3
const readerCount = 2 * capacityTarget.failureDomains
const profileCount = 200
/** Duration of a watch on the platform, and sustained byte rate of the relay, as in core/platform and core/relay. */
const platformWatchMs = 10_000
const relayBytesPerSecond = 5_000

/** Number of connections of one node: comparison peers, children in both trees, and as many inbound ones. */
function countPeers (members: number): number {
  const fanOut = 4
  return 2 * (Math.ceil(Math.log(members) / Math.log(fanOut)) + 2 * fanOut)
}

/** A line fitted to a figure over the logarithm of the number of nodes. */
interface Fit { readonly slope: number, readonly intercept: number, readonly largestFleetValue: number }

function fitLogarithm (rows: readonly ResultRow[], field: string): Fit {
  const fit = fitLine(rows.map(row => [Math.log(getNumber(row, 'nodes')), getNumber(row, field)] as const))
  return { ...fit, largestFleetValue: getNumber(rows[rows.length - 1], field) }
}

/**
 * Extrapolates along the slope, but never below the value of the largest fleet measured: a falling slope is not assumed
 * to continue beyond it.
 */
function extrapolateTo ({ slope, intercept, largestFleetValue }: Fit, nodes: number): number {
  return Math.max(largestFleetValue, intercept + slope * Math.log(nodes))
}
