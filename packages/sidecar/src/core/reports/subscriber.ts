import type { Cancel, Clock } from 'auburnturn/core/clock'
import { encodeSubscription } from './codec.js'
import { resubscribeAfterMs, subscriptionCheckIntervalMs, subscriptionRenewalMs } from './constants.js'

/** Subscribes to the reports of other nodes and periodically renews the subscriptions. */
export class Subscriber {
  private readonly options: SubscriberOptions
  private readonly cancel: Cancel
  /** Clock milliseconds of the last subscription sent to each source (a node that it receives reports from), by address. */
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

  /** Sends subscriptions to the sources whose renewal is due, and to unresponsive ones. */
  renewSubscriptions (): void {
    const now = this.options.clock.now()
    const subscribedAt = new Map<string, number>()
    for (const ip of this.options.sources()) {
      const previous = this.subscribedAt.get(ip) ?? -Infinity
      const due = this.isDue(ip, now - previous)
      if (due) this.options.send(encodeSubscription(), ip)
      subscribedAt.set(ip, due ? now : previous)
    }
    this.subscribedAt = subscribedAt
  }

  close (): void {
    this.cancel()
  }

  private isDue (ip: string, subscriptionAgeMs: number): boolean {
    if (subscriptionAgeMs >= subscriptionRenewalMs) return true
    return subscriptionAgeMs >= resubscribeAfterMs && this.options.getReportAgeMs(ip) >= resubscribeAfterMs
  }
}

interface SubscriberOptions {
  readonly clock: Clock
  /** Updates the selection of sources; called before each periodic renewal. */
  readonly refreshSources: () => void
  /** Addresses of the nodes to subscribe to. */
  readonly sources: () => ReadonlySet<string>
  /** Returns the milliseconds since the last report of the node at an address; Infinity if there is none. */
  readonly getReportAgeMs: (ip: string) => number
  readonly send: (bytes: Buffer, ip: string) => void
}
