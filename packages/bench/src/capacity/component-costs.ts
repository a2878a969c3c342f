import { numberOf, readResults } from '../results.js'
import type { Row } from '../results.js'

/** What single parts cost, from path.json, ledger.json and roles.json. Bytes, microseconds and milliseconds as named. */
export interface ComponentCosts {
  readonly addedLatencyMs: number
  readonly pipeAddedLatencyMs: number
  readonly maxCallsPerSecond: number
  readonly cpuUsPerCall: number
  /** Resident memory of a saturated node, in megabytes. */
  readonly saturatedMegabytes: number
  readonly ledgerBytesPerCall: number
  readonly ledgerUsPerCall: number
  readonly callsPerWindow: number
  readonly maxRecordedCalls: number
  readonly bytesPerMember: number
  readonly listChangeUs: number
  readonly candidateStateBytes: number
  readonly routingUsPerCall: number
  readonly admissionUsPerCall: number
  readonly bytesPerQueuedCall: number
  readonly serviceDumpBytes: number
  readonly serviceDumpUs: number
}

/** Reads the figures of the parts; throws when one was not measured. */
export function readComponentCosts (): ComponentCosts {
  const path = readResults('path')
  const readPathValue = (what: string): number => round(numberOf(path.find(row => row.what === what), 'value'))
  const [ledger] = readResults('ledger')
  const roles = readResults('roles')
  const readRoleValue = (role: string, field: string): number => round(numberOf(findRow(roles, role), field))
  return {
    addedLatencyMs: readPathValue('p99 added by one node'),
    pipeAddedLatencyMs: readPathValue('p99 added by a raw pipe'),
    maxCallsPerSecond: readPathValue('calls carried by one node'),
    cpuUsPerCall: readPathValue('processor time of the node for a call'),
    saturatedMegabytes: readPathValue('resident memory, under load'),
    ledgerBytesPerCall: numberOf(ledger, 'bytesPerCall'),
    ledgerUsPerCall: numberOf(ledger, 'settleUs'),
    callsPerWindow: numberOf(ledger, 'windowCalls'),
    maxRecordedCalls: numberOf(ledger, 'heldCalls'),
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

function findRow (rows: readonly Row[], name: string): Row | undefined {
  return rows.find(row => row.case === name)
}

/** Rounds to two digits behind the point, and to whole numbers from 10 on. */
function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}
