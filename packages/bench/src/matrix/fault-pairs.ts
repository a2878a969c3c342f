import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { PlannedFault } from './scenario.js'

/** Two cells at once, or one twice, with the kind of call that they strike. */
export interface FaultPair {
  readonly plannedFaults: readonly PlannedFault[]
  readonly kind: CallKind
  readonly seed: number
}

/** Steps that some other fault may keep a call from reaching, so that only the first of a pair is sure to strike. */
export const faultPairs: fc.Arbitrary<FaultPair> = fc.record({
  plannedFaults: fc.array(fc.constantFrom(...listCells().filter(({ impossibleReason: impossible }) => impossible === undefined)), { minLength: 2, maxLength: 2 }),
  kind: fc.constantFrom<CallKind>('idempotent', 'plain', 'ticketed'),
  seed: fc.integer({ min: 1, max: 1_000_000 })
}, { noNullPrototype: true })
