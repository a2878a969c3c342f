import type { Cancel, Clock } from 'auburnturn/core/clock'
import { encodeSubscription } from './codec.js'
import { resubscribeAfterMs, subscriptionRenewalMs, subscriptionCheckIntervalMs } from './constants.js'

/** Tells other nodes now and then that this one wants their reports. */
export class Subscriber {
  private readonly options: SubscriberOptions
  private readonly cancel: Cancel
  /** When each node that is wanted was asked last. */
  private subscribedAt = new Map<string, number>()

  private constructor (options: SubscriberOptions) {
    this.options = options
    this.cancel = options.clock.every(subscriptionCheckIntervalMs, () => {
      options.refreshSources()
      this.renewSubscriptions()
    })
  }

  static create (options: SubscriberOptions): Subscriber {
    return new Subscriber(options)
  }

  /** Asks those that were not asked for some time, and those that are silent. */
  renewSubscriptions (): void {
    const now = this.options.clock.now()
    const askedAt = new Map<string, number>()
    for (const ip of this.options.sources()) {
      const before = this.subscribedAt.get(ip) ?? -Infinity
      const due = this.isDue(ip, now - before)
      if (due) this.options.send(encodeSubscription(), ip)
      askedAt.set(ip, due ? now : before)
    }
    this.subscribedAt = askedAt
  }

  close (): void {
    this.cancel()
  }

  private isDue (ip: string, agoMs: number): boolean {
    if (agoMs >= subscriptionRenewalMs) return true
    return agoMs >= resubscribeAfterMs && this.options.reportAgeMs(ip) >= resubscribeAfterMs
  }
}

interface SubscriberOptions {
  readonly clock: Clock
  /** Chooses anew whose reports are wanted; called before each round. */
  readonly refreshSources: () => void
  /** Addresses of the nodes whose reports are wanted. */
  readonly sources: () => ReadonlySet<string>
  /** Milliseconds since the node at an address was heard. */
  readonly reportAgeMs: (ip: string) => number
  readonly send: (bytes: Buffer, ip: string) => void
}
