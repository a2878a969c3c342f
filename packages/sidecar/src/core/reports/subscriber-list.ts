import type { Clock } from 'auburnturn/core/clock'
import { subscriptionExpiryMs } from './constants.js'

/** The nodes that want this one's reports. */
export class SubscriberList {
  private readonly clock: Clock
  private readonly renewedAt = new Map<string, number>()

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): SubscriberList {
    return new SubscriberList(clock)
  }

  /** The node at `ip` wants reports; whether it is new. */
  recordSubscription (ip: string): boolean {
    const before = this.renewedAt.get(ip)
    const now = this.clock.now()
    this.renewedAt.set(ip, now)
    return before === undefined || now - before > subscriptionExpiryMs
  }

  /** Addresses of those that still want reports. */
  list (): string[] {
    const now = this.clock.now()
    for (const [ip, at] of this.renewedAt) if (now - at > subscriptionExpiryMs) this.renewedAt.delete(ip)
    return [...this.renewedAt.keys()]
  }
}
