import { stableMs } from '../constants.js'
import type { Disturbance } from '../types.js'

/** Whether none of `places` was disturbed from `stableMs` before `from` up to `to`. */
export function isCalm (disturbances: readonly Disturbance[], places: ReadonlyArray<number | 'store'>, from: number, to: number): boolean {
  return !disturbances.some(disturbance => places.includes(disturbance.place) && overlaps(disturbance, from, to))
}

/** Whether nothing unplanned happened anywhere in that time. */
export function isUnharmed (disturbances: readonly Disturbance[], from: number, to: number): boolean {
  return !disturbances.some(disturbance => !disturbance.planned && overlaps(disturbance, from, to))
}

function overlaps (disturbance: Disturbance, from: number, to: number): boolean {
  return disturbance.from <= to && disturbance.to >= from - stableMs
}
