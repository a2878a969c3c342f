import { stabilizationMs } from '../constants.js'
import type { FaultPeriod } from '../types.js'

/** Whether no fault affected any of `components` between `stabilizationMs` before `from` and `to`. */
export function hasNoFault (faultPeriods: readonly FaultPeriod[], components: ReadonlyArray<number | 'store'>, from: number, to: number): boolean {
  return !faultPeriods.some(period => components.includes(period.component) && overlaps(period, from, to))
}

/** Whether no unplanned fault affected any component in the same period. */
export function hasNoUnplannedFault (faultPeriods: readonly FaultPeriod[], from: number, to: number): boolean {
  return !faultPeriods.some(period => !period.planned && overlaps(period, from, to))
}

function overlaps (period: FaultPeriod, from: number, to: number): boolean {
  return period.from <= to && period.to >= from - stabilizationMs
}
