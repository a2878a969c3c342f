import type { Cancel, Clock } from 'auburnturn/core/clock'
import { encodeSubscription } from './codec.js'
import { subscribeMs } from './constants.js'

/** Tells other nodes now and then that this one wants their reports. */
export class Subscriber {
  private readonly options: SubscriberOptions
  private readonly cancel: Cancel
  private asked: ReadonlySet<string> = new Set()

  private constructor (options: SubscriberOptions) {
    this.options = options
    this.cancel = options.clock.every(subscribeMs, () => { this.renew() })
  }

  static create (options: SubscriberOptions): Subscriber {
    return new Subscriber(options)
  }

  /** Asks at once those nodes that were not asked before. */
  askNew (): void {
    const wanted = this.options.wanted()
    for (const ip of wanted) if (!this.asked.has(ip)) this.ask(ip)
    this.asked = wanted
  }

  close (): void {
    this.cancel()
  }

  private renew (): void {
    this.options.refresh()
    this.asked = this.options.wanted()
    for (const ip of this.asked) this.ask(ip)
  }

  private ask (ip: string): void {
    this.options.send(encodeSubscription(), ip)
  }
}

interface SubscriberOptions {
  readonly clock: Clock
  /** Chooses anew whose reports are wanted; called before each round. */
  readonly refresh: () => void
  /** Addresses of the nodes whose reports are wanted. */
  readonly wanted: () => ReadonlySet<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
