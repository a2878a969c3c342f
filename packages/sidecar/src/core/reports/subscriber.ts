import type { Cancel, Clock } from 'auburnturn/core/clock'
import { encodeSubscription } from './codec.js'
import { askSilentMs, renewMs, subscribeMs } from './constants.js'

/** Tells other nodes now and then that this one wants their reports. */
export class Subscriber {
  private readonly options: SubscriberOptions
  private readonly cancel: Cancel
  /** When each node that is wanted was asked last. */
  private askedAt = new Map<string, number>()

  private constructor (options: SubscriberOptions) {
    this.options = options
    this.cancel = options.clock.every(subscribeMs, () => {
      options.refresh()
      this.ask()
    })
  }

  static create (options: SubscriberOptions): Subscriber {
    return new Subscriber(options)
  }

  /** Asks those that were not asked for some time, and those that are silent. */
  ask (): void {
    const now = this.options.clock.now()
    const askedAt = new Map<string, number>()
    for (const ip of this.options.wanted()) {
      const before = this.askedAt.get(ip) ?? -Infinity
      const due = this.isDue(ip, now - before)
      if (due) this.options.send(encodeSubscription(), ip)
      askedAt.set(ip, due ? now : before)
    }
    this.askedAt = askedAt
  }

  close (): void {
    this.cancel()
  }

  private isDue (ip: string, agoMs: number): boolean {
    if (agoMs >= renewMs) return true
    return agoMs >= askSilentMs && this.options.silentMs(ip) >= askSilentMs
  }
}

interface SubscriberOptions {
  readonly clock: Clock
  /** Chooses anew whose reports are wanted; called before each round. */
  readonly refresh: () => void
  /** Addresses of the nodes whose reports are wanted. */
  readonly wanted: () => ReadonlySet<string>
  /** Milliseconds since the node at an address was heard. */
  readonly silentMs: (ip: string) => number
  readonly send: (bytes: Buffer, ip: string) => void
}
