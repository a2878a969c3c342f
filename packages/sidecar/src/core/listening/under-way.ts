import type { Clock } from 'auburnturn/core/clock'

/** How often a wait looks again, in milliseconds. */
const lookMs = 10

/** Counts the requests that a node has under way. */
export class UnderWay {
  count = 0
  /** Requests that have ended so far. */
  private ended = 0
  private readonly clock: Clock

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): UnderWay {
    return new UnderWay(clock)
  }

  /** Counts `request` until it ends, well or not. */
  async follow (request: Promise<void>): Promise<void> {
    this.count++
    try {
      await request
    } finally {
      this.count--
      this.ended++
    }
  }

  /** Resolves when none is left, or at `endsAt` (clock milliseconds). */
  async settle (endsAt: number): Promise<void> {
    while (this.count > 0 && this.clock.now() < endsAt) await this.clock.sleep(lookMs)
  }

  /** Resolves when there was none for `quietMs`, or at `endsAt` (clock milliseconds). */
  async settleQuiet (quietMs: number, endsAt: number): Promise<void> {
    let quietSince = this.clock.now()
    let ended = this.ended
    while (this.clock.now() < endsAt && this.clock.now() - quietSince < quietMs) {
      await this.clock.sleep(lookMs)
      if (this.count === 0 && ended === this.ended) continue
      quietSince = this.clock.now()
      ended = this.ended
    }
  }
}
