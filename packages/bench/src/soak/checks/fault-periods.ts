import { stabilizationMs } from '../constants.js'
import type { FaultPeriod } from '../types.js'

/** Whether none of `places` was disturbed from `stableMs` before `from` up to `to`. */
export function hasNoFault (faultPeriods: readonly FaultPeriod[], components: ReadonlyArray<number | 'store'>, from: number, to: number): boolean {
  return !faultPeriods.some(period => components.includes(period.component) && overlaps(period, from, to))
}

/** Whether nothing unplanned happened anywhere in that time. */
export function hasNoUnplannedFault (faultPeriods: readonly FaultPeriod[], from: number, to: number): boolean {
  return !faultPeriods.some(period => !period.planned && overlaps(period, from, to))
}

function overlaps (period: FaultPeriod, from: number, to: number): boolean {
  return period.from <= to && period.to >= from - stabilizationMs
}
