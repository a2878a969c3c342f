import { formatTable } from '../table/index.js'
import type { ReviewedStatus } from './types.js'

const absent = '-'

const headings = ['NODE', 'SERVICE', 'STATE', 'VERSION', 'CONFIRMED', 'SOURCE', 'MEMBERS', 'IN FLIGHT', 'QUEUED', 'MEASURED', 'CONTROL', 'ROLE', 'CONCERN'] as const

/** One row a node, for a person. */
export function formatStatuses (statuses: readonly ReviewedStatus[]): string {
  return formatTable(headings, statuses.map(formatRow))
}

function formatRow (status: ReviewedStatus): string[] {
  return [
    status.node ?? status.address,
    status.service ?? absent,
    status.state ?? absent,
    show(status.version),
    formatAge(status.confirmedAgeMs),
    status.source ?? absent,
    show(status.members),
    status.inFlight === undefined ? absent : `${status.inFlight}/${show(status.slots)}`,
    show(status.queued),
    status.measuredBytes === undefined ? absent : formatBytes(status.measuredBytes),
    status.relayBytesPerSecond === undefined ? absent : `${formatBytes(status.relayBytesPerSecond)}/s`,
    status.role ?? absent,
    status.concerns.length === 0 ? absent : status.concerns.join(', ')
  ]
}

function show (value: number | undefined): string {
  return value === undefined ? absent : String(value)
}

/** An age in its largest whole unit, such as `4 s ago`. */
function formatAge (milliseconds: number | undefined): string {
  if (milliseconds === undefined) return absent
  const seconds = Math.floor(milliseconds / 1000)
  if (seconds < 120) return `${seconds} s ago`
  const minutes = Math.floor(seconds / 60)
  return minutes < 120 ? `${minutes} min ago` : `${Math.floor(minutes / 60)} h ago`
}

function formatBytes (bytes: number): string {
  return bytes < 10_000 ? `${Math.round(bytes)} B` : `${Math.round(bytes / 1000)} kB`
}
