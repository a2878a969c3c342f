import type { Clock } from 'auburnturn/core/clock'

/** How often a wait looks again, in milliseconds. */
const pollIntervalMs = 10

/** Counts the requests that a node has under way. */
export class InFlightRequests {
  count = 0
  /** Requests that have ended so far. */
  private endedCount = 0
  private readonly clock: Clock

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): InFlightRequests {
    return new InFlightRequests(clock)
  }

  /** Counts `request` until it ends, well or not. */
  async track (request: Promise<void>): Promise<void> {
    this.count++
    try {
      await request
    } finally {
      this.count--
      this.endedCount++
    }
  }

  /** Resolves when none is left, or at `endsAt` (clock milliseconds). */
  async waitUntilEmpty (endsAt: number): Promise<void> {
    while (this.count > 0 && this.clock.now() < endsAt) await this.clock.sleep(pollIntervalMs)
  }

  /** Resolves when there was none for `quietMs`, or at `endsAt` (clock milliseconds). */
  async waitUntilIdle (quietMs: number, endsAt: number): Promise<void> {
    let quietSince = this.clock.now()
    let ended = this.endedCount
    while (this.clock.now() < endsAt && this.clock.now() - quietSince < quietMs) {
      await this.clock.sleep(pollIntervalMs)
      if (this.count === 0 && ended === this.endedCount) continue
      quietSince = this.clock.now()
      ended = this.endedCount
    }
  }
}
