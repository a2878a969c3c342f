import { formatTable } from '../table/index.js'
import type { ComparedStatus } from './types.js'

const missingValue = '-'

const headings = ['NODE', 'SERVICE', 'STATE', 'VERSION', 'CONFIRMED', 'SOURCE', 'MEMBERS', 'IN FLIGHT', 'QUEUED', 'MEASURED', 'CONTROL', 'ROLE', 'CONCERN'] as const

/** Formats the statuses as a table with one row per node. */
export function formatStatuses (statuses: readonly ComparedStatus[]): string {
  return formatTable(headings, statuses.map(formatRow))
}

function formatRow (status: ComparedStatus): string[] {
  return [
    status.node ?? status.address,
    status.service ?? missingValue,
    status.state ?? missingValue,
    formatNumber(status.version),
    formatAge(status.confirmedAgeMs),
    status.source ?? missingValue,
    formatNumber(status.members),
    status.inFlight === undefined ? missingValue : `${status.inFlight}/${formatNumber(status.slots)}`,
    formatNumber(status.queued),
    status.measuredBytes === undefined ? missingValue : formatBytes(status.measuredBytes),
    status.relayBytesPerSecond === undefined ? missingValue : `${formatBytes(status.relayBytesPerSecond)}/s`,
    status.role ?? missingValue,
    status.concerns.length === 0 ? missingValue : status.concerns.join(', ')
  ]
}

function formatNumber (value: number | undefined): string {
  return value === undefined ? missingValue : String(value)
}

/** Formats an age in whole seconds, minutes or hours, such as `4 s ago`. */
function formatAge (milliseconds: number | undefined): string {
  if (milliseconds === undefined) return missingValue
  const seconds = Math.floor(milliseconds / 1000)
  if (seconds < 120) return `${seconds} s ago`
  const minutes = Math.floor(seconds / 60)
  return minutes < 120 ? `${minutes} min ago` : `${Math.floor(minutes / 60)} h ago`
}

function formatBytes (bytes: number): string {
  return bytes < 10_000 ? `${Math.round(bytes)} B` : `${Math.round(bytes / 1000)} kB`
}
