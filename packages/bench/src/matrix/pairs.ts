import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { listCells } from './cells.js'
import type { Planned } from './scene.js'

/** Two cells at once, or one twice, with the kind of call that they strike. */
export interface Pair {
  readonly planned: readonly Planned[]
  readonly kind: CallKind
  readonly seed: number
}

/** Steps that some other fault may keep a call from reaching, so that only the first of a pair is sure to strike. */
export const pairs: fc.Arbitrary<Pair> = fc.record({
  planned: fc.array(fc.constantFrom(...listCells().filter(({ impossible }) => impossible === undefined)), { minLength: 2, maxLength: 2 }),
  kind: fc.constantFrom<CallKind>('idempotent', 'plain', 'ticketed'),
  seed: fc.integer({ min: 1, max: 1_000_000 })
}, { noNullPrototype: true })
