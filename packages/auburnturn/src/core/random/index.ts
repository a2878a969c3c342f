/** Seeded pseudo-random numbers, so that a run can be reproduced from its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A pseudo-random number generator. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** Generators with the same `seed`, a 32-bit integer, return the same sequence. */
  static create (seed: number): Random {
    return new Random(seed | 0)
  }

  /** A uniformly distributed number in [0, 1). */
  fraction (): number {
    return uniformFloat64(this.generator)
  }

  /** A uniformly distributed integer in [0, bound). */
  integerBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }
}
