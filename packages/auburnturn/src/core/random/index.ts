/** Seeded randomness, so that a run can be repeated from its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random numbers. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** The same `seed` (a 32-bit integer) gives the same numbers. */
  static create (seed: number): Random {
    return new Random(seed | 0)
  }

  /** A number in [0, 1). */
  fraction (): number {
    return uniformFloat64(this.generator)
  }

  /** An integer in [0, bound). */
  integerBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }
}
