import type { Clock } from 'auburnturn/core/clock'

/** Interval at which the `waitUntil` methods check the requests, in milliseconds. */
const pollIntervalMs = 10

/** Counts the requests that a node has in flight. */
export class InFlightRequests {
  count = 0
  /** Number of requests that have ended so far. */
  private endedCount = 0
  private readonly clock: Clock

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): InFlightRequests {
    return new InFlightRequests(clock)
  }

  /** Counts a request until its promise resolves or rejects. */
  async track (request: Promise<void>): Promise<void> {
    this.count++
    try {
      await request
    } finally {
      this.count--
      this.endedCount++
    }
  }

  /** Resolves when no request is in flight, or at `deadlineAt` (clock milliseconds). */
  async waitUntilEmpty (deadlineAt: number): Promise<void> {
    while (this.count > 0 && this.clock.now() < deadlineAt) await this.clock.sleep(pollIntervalMs)
  }

  /** Resolves when no request has been in flight for `idleMs`, or at `deadlineAt` (clock milliseconds). */
  async waitUntilIdle (idleMs: number, deadlineAt: number): Promise<void> {
    let idleSince = this.clock.now()
    let previousEndedCount = this.endedCount
    while (this.clock.now() < deadlineAt && this.clock.now() - idleSince < idleMs) {
      await this.clock.sleep(pollIntervalMs)
      if (this.count === 0 && previousEndedCount === this.endedCount) continue
      idleSince = this.clock.now()
      previousEndedCount = this.endedCount
    }
  }
}
