import type { StorePosition } from './types.js'

/** Whether a position is later than another one; any position counts as later than none. */
export function isLater (one: StorePosition, other: StorePosition | undefined): boolean {
  if (other === undefined) return true
  return one.era === other.era ? one.revision > other.revision : one.era > other.era
}
