import type { Clock } from 'auburnturn/core/clock'
import { subscribedMs } from './constants.js'

/** The nodes that want this one's reports. */
export class Audience {
  private readonly clock: Clock
  private readonly heardAt = new Map<string, number>()

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Audience {
    return new Audience(clock)
  }

  /** The node at `ip` wants reports; whether it is new. */
  hear (ip: string): boolean {
    const before = this.heardAt.get(ip)
    const now = this.clock.now()
    this.heardAt.set(ip, now)
    return before === undefined || now - before > subscribedMs
  }

  /** Addresses of those that still want reports. */
  list (): string[] {
    const now = this.clock.now()
    for (const [ip, at] of this.heardAt) if (now - at > subscribedMs) this.heardAt.delete(ip)
    return [...this.heardAt.keys()]
  }
}
