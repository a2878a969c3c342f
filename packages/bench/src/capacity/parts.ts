import { getNumber, readResults } from '../results.js'
import type { ResultRow } from '../results.js'

/** What single parts cost, from path.json, ledger.json and roles.json. Bytes, microseconds and milliseconds as named. */
export interface PartFigures {
  readonly addedMs: number
  readonly pipeAddedMs: number
  readonly carriedPerSecond: number
  readonly callUs: number
  /** Resident memory of a saturated node, in megabytes. */
  readonly loadedMegabytes: number
  readonly ledgerBytes: number
  readonly settleUs: number
  readonly windowCalls: number
  readonly heldCalls: number
  readonly memberBytes: number
  readonly listUs: number
  readonly candidateBytes: number
  readonly choiceUs: number
  readonly admitUs: number
  readonly waitingBytes: number
  readonly dumpBytes: number
  readonly dumpUs: number
}

/** Reads the figures of the parts; throws when one was not measured. */
export function readParts (): PartFigures {
  const path = readResults('path')
  const pathFigure = (what: string): number => round(getNumber(path.find(row => row.what === what), 'value'))
  const [ledger] = readResults('ledger')
  const roles = readResults('roles')
  const roleFigure = (role: string, field: string): number => round(getNumber(findCase(roles, role), field))
  return {
    addedMs: pathFigure('p99 added by one node'),
    pipeAddedMs: pathFigure('p99 added by a raw pipe'),
    carriedPerSecond: pathFigure('calls carried by one node'),
    callUs: pathFigure('processor time of the node for a call'),
    loadedMegabytes: pathFigure('resident memory, under load'),
    ledgerBytes: getNumber(ledger, 'bytesPerCall'),
    settleUs: getNumber(ledger, 'settleUs'),
    windowCalls: getNumber(ledger, 'windowCalls'),
    heldCalls: getNumber(ledger, 'heldCalls'),
    memberBytes: roleFigure('membership', 'bytesPerTarget'),
    listUs: roleFigure('membership', 'listUs'),
    candidateBytes: roleFigure('router', 'bytesPerCandidate'),
    choiceUs: roleFigure('router', 'callUs'),
    admitUs: roleFigure('admission', 'callUs'),
    waitingBytes: roleFigure('admission', 'bytesPerWaitingCall'),
    dumpBytes: roleFigure('operator', 'dumpBytesPerService'),
    dumpUs: roleFigure('operator', 'dumpUsPerService')
  }
}

function findCase (rows: readonly ResultRow[], name: string): ResultRow | undefined {
  return rows.find(row => row.case === name)
}

/** Rounds to two digits behind the point, and to whole numbers from 10 on. */
function round (value: number): number {
  return value >= 10 ? Math.round(value) : Math.round(value * 100) / 100
}
