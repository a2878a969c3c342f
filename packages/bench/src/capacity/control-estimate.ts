import { fitLine } from '../control/numbers.js'
import { numberOf } from '../results.js'
import type { Row } from '../results.js'
import { capacityTarget } from './capacity-target.js'

/** What control costs at the target's size, extrapolated from the control bench. */
export interface ControlEstimate {
  readonly largestFleet: Row
  readonly fleets: readonly Row[]
  readonly controlBytesPerSecond: number
  readonly bytesPerSecondPerDoubling: number
  readonly coreShare: number
  readonly idleDaemonCoreShare: number
  readonly totalMegabytes: number
  readonly idleDaemonMegabytes: number
  readonly stateMegabytes: number
  readonly platformReadsPerSecond: number
  readonly lastNodeDelayMs: number
  readonly initialCopyBytes: number
  readonly initialCopySeconds: number
}

const configurationChangesPerSecond = capacityTarget.configurationChangesPerDay / 86_400
const memberChangesPerSecond = (2 * capacityTarget.vmFailuresPerDay + 2 * capacityTarget.vmRestartsPerDay) / 86_400
const megabyteBytes = 1_048_576

/** Extrapolates every figure of the target from the rows of control.json. */
export function estimateControl (rows: readonly Row[]): ControlEstimate {
  const fleets = rows.filter(row => row.case === 'fleet')
  const memory = rows.find(row => row.case === 'memory')
  const daemon = rows.find(row => row.case === 'daemon')
  const largestFleet = fleets[fleets.length - 1] as Row
  const updatesPerSecond = configurationChangesPerSecond + memberChangesPerSecond
  const changeBytesFit = fitLogarithm(fleets, 'bytesPerNodeAndChange')
  const idleBytesFit = fitLogarithm(fleets, 'idleBytesPerNodePerSecond')
  const equivalentNodes = capacityTarget.nodes / capacityTarget.failureDomains * benchDomainCount
  const controlBytesPerSecond = extrapolateTo(idleBytesFit, equivalentNodes) + extrapolateTo(changeBytesFit, equivalentNodes) * updatesPerSecond
  const stateBytes = capacityTarget.nodes * numberOf(memory, 'bytesPerTarget') + capacityTarget.services * numberOf(memory, 'bytesPerService') +
    profileCount * numberOf(memory, 'bytesPerProfile') + countPeers(capacityTarget.nodes / capacityTarget.failureDomains) * numberOf(memory, 'bytesPerPeer')
  const idleDaemonMegabytes = numberOf(daemon, 'residentMegabytes')
  const readsPerReaderAndChange = numberOf(largestFleet, 'readsPerChange') / numberOf(largestFleet, 'readers')
  const initialCopyBytes = numberOf(memory, 'copyBytes')
  return {
    largestFleet,
    fleets,
    controlBytesPerSecond,
    bytesPerSecondPerDoubling: (idleBytesFit.slope + changeBytesFit.slope * updatesPerSecond) * Math.log(2),
    coreShare: numberOf(largestFleet, 'idleCorePerNode') + numberOf(largestFleet, 'cpuMsPerNodeAndChange') / 1000 * updatesPerSecond + numberOf(memory, 'memberChangeMs') / 1000 * memberChangesPerSecond,
    idleDaemonCoreShare: numberOf(daemon, 'idleCore'),
    totalMegabytes: idleDaemonMegabytes + stateBytes / megabyteBytes,
    idleDaemonMegabytes,
    stateMegabytes: stateBytes / megabyteBytes,
    platformReadsPerSecond: readerCount * (readsPerReaderAndChange * updatesPerSecond + 2 * 1000 / platformWatchMs),
    lastNodeDelayMs: numberOf(largestFleet, 'lastNodeMaxMs') * Math.log(capacityTarget.nodes / capacityTarget.failureDomains) / Math.log(numberOf(largestFleet, 'nodes') / benchDomainCount),
    initialCopyBytes,
    initialCopySeconds: initialCopyBytes / relayBytesPerSecond
  }
}

/** Failure domains of the bench's fleets. */
const benchDomainCount = 3
const readerCount = 2 * capacityTarget.failureDomains
const profileCount = 200
/** Watch of the platform and sustained bytes of the relay, as in core/platform and core/relay. */
const platformWatchMs = 10_000
const relayBytesPerSecond = 5_000

/** Connections kept by one node: partners, both trees' children, and as many inbound. */
function countPeers (members: number): number {
  const fanOut = 4
  return 2 * (Math.ceil(Math.log(members) / Math.log(fanOut)) + 2 * fanOut)
}

interface Fit { readonly slope: number, readonly intercept: number, readonly largestFleetValue: number }

function fitLogarithm (rows: readonly Row[], field: string): Fit {
  const fit = fitLine(rows.map(row => [Math.log(numberOf(row, 'nodes')), numberOf(row, field)] as const))
  return { ...fit, largestFleetValue: numberOf(rows[rows.length - 1], field) }
}

/** Along the slope, but never below the largest fleet measured: a falling slope is not trusted beyond it. */
function extrapolateTo ({ slope, intercept, largestFleetValue }: Fit, nodes: number): number {
  return Math.max(largestFleetValue, intercept + slope * Math.log(nodes))
}
