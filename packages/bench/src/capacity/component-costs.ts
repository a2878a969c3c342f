import { getNumber, readResults } from '../results.js'
import type { ResultRow } from '../results.js'

/** Costs of single components, from path.json, ledger.json and roles.json. Units are in the names; Us is microseconds. */
export interface ComponentCosts {
  /** p99 that one node adds to a call. */
  readonly addedLatencyMs: number
  /** p99 that a raw pipe adds in place of the node. */
  readonly pipeAddedLatencyMs: number
  readonly maxCallsPerSecond: number
  /** Processor time of the node per call. */
  readonly cpuUsPerCall: number
  /** Resident memory of a saturated node. */
  readonly saturatedMegabytes: number
  readonly ledgerBytesPerCall: number
  readonly ledgerUsPerCall: number
  /** Calls that the ledger must record to cover the whole replay window of a profile. */
  readonly callsPerWindow: number
  /** Calls that fit in the default memory of the ledger. */
  readonly maxRecordedCalls: number
  readonly bytesPerMember: number
  /** Processing time of one changed member list. */
  readonly listChangeUs: number
  readonly candidateStateBytes: number
  /** Time to choose a target for a call and to record its outcome. */
  readonly routingUsPerCall: number
  readonly admissionUsPerCall: number
  readonly bytesPerQueuedCall: number
  /** Size of the members of one service in a dump, and the time to write them. */
  readonly serviceDumpBytes: number
  readonly serviceDumpUs: number
}

/** Reads the costs from the result files; throws if one is missing. */
export function readComponentCosts (): ComponentCosts {
  const path = readResults('path')
  const readPathValue = (what: string): number => round(getNumber(path.find(row => row.what === what), 'value'))
  const [ledger] = readResults('ledger')
  const roles = readResults('roles')
  const readRoleValue = (role: string, field: string): number => round(getNumber(findRow(roles, role), field))
  return {
    addedLatencyMs: readPathValue('p99 added by one node'),
    pipeAddedLatencyMs: readPathValue('p99 added by a raw pipe'),
    maxCallsPerSecond: readPathValue('calls carried by one node'),
    cpuUsPerCall: readPathValue('processor time of the node for a call'),
    saturatedMegabytes: readPathValue('resident memory, under load'),
    ledgerBytesPerCall: getNumber(ledger, 'bytesPerCall'),
    ledgerUsPerCall: getNumber(ledger, 'settleUs'),
    callsPerWindow: getNumber(ledger, 'windowCalls'),
    maxRecordedCalls: getNumber(ledger, 'heldCalls'),
    bytesPerMember: readRoleValue('membership', 'bytesPerTarget'),
    listChangeUs: readRoleValue('membership', 'listUs'),
    candidateStateBytes: readRoleValue('router', 'bytesPerCandidate'),
    routingUsPerCall: readRoleValue('router', 'callUs'),
    admissionUsPerCall: readRoleValue('admission', 'callUs'),
    bytesPerQueuedCall: readRoleValue('admission', 'bytesPerWaitingCall'),
    serviceDumpBytes: readRoleValue('operator', 'dumpBytesPerService'),
    serviceDumpUs: readRoleValue('operator', 'dumpUsPerService')
  }
}

function findRow (rows: readonly ResultRow[], name: string): ResultRow | undefined {
  return rows.find(row => row.case === name)
}

/** Rounds to two decimal places, or to a whole number from 10 on. */
function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}
