import type { Clock } from 'auburnturn/core/clock'
import { subscriptionExpiryMs } from './constants.js'

/** The nodes that are subscribed to the reports of this node. */
export class SubscriberList {
  private readonly clock: Clock
  /** Clock milliseconds of the last subscription of each node, by address. */
  private readonly renewedAt = new Map<string, number>()

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): SubscriberList {
    return new SubscriberList(clock)
  }

  /** Adds or renews the subscription of the node at `ip`. Returns true if it had none, or an expired one. */
  recordSubscription (ip: string): boolean {
    const previous = this.renewedAt.get(ip)
    const now = this.clock.now()
    this.renewedAt.set(ip, now)
    return previous === undefined || now - previous > subscriptionExpiryMs
  }

  /** Returns the addresses of all nodes whose subscription has not expired. */
  list (): string[] {
    const now = this.clock.now()
    for (const [ip, at] of this.renewedAt) if (now - at > subscriptionExpiryMs) this.renewedAt.delete(ip)
    return [...this.renewedAt.keys()]
  }
}
