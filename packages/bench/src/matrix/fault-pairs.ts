import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { PlannedFault } from './scenario.js'

/** Two cells whose faults are injected in the same run (possibly the same cell twice), and the kind of call. */
export interface FaultPair {
  readonly plannedFaults: readonly PlannedFault[]
  readonly kind: CallKind
  readonly seed: number
}

/**
 * Generates pairs of possible cells. Only the first fault of a pair is sure to be injected: it may keep the call from
 * reaching the step of the second one.
 */
export const faultPairs: fc.Arbitrary<FaultPair> = fc.record({
  plannedFaults: fc.array(fc.constantFrom(...listCells().filter(({ impossibleReason }) => impossibleReason === undefined)), { minLength: 2, maxLength: 2 }),
  kind: fc.constantFrom<CallKind>('idempotent', 'plain', 'ticketed'),
  seed: fc.integer({ min: 1, max: 1_000_000 })
}, { noNullPrototype: true })
