import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'
import type { Part } from '../supervisor/types.js'

/** What decides whether this node's own target takes new work. */
export interface OwnMembershipOptions {
  readonly id: string
  readonly incarnation: string
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  /** Refuses new and queued work from now on. */
  readonly drain: () => void
  /** Takes new work again. */
  readonly open: () => void
  readonly profileOf: (service: string) => Profile
}

/** Closes this node's admission a while after the list says that its target leaves, and opens it when it is live again. */
export class OwnMembership implements Part {
  private readonly options: OwnMembershipOptions
  private unsubscribe: Cancel = () => {}
  private pending: Cancel | undefined
  private drained = false
  private announced = false

  private constructor (options: OwnMembershipOptions) {
    this.options = options
  }

  static create (options: OwnMembershipOptions): OwnMembership {
    const own = new OwnMembership(options)
    own.follow()
    return own
  }

  async close (): Promise<void> {
    this.unsubscribe()
    this.pending?.()
  }

  dump (): unknown {
    return { leaving: this.isLeaving(), drained: this.drained }
  }

  private follow (): void {
    const { directory, clock, service, logger } = this.options
    this.unsubscribe = subscribe(clock, directory.changes,
      changed => { if (changed === service) this.review() },
      error => { logger.error('own-membership-failed', { error: String(error) }) })
    this.review()
  }

  private review (): void {
    this.announceOnce()
    if (this.isLeaving()) this.startDrain()
    else this.cancelDrain()
  }

  private announceOnce (): void {
    const { directory, service, id, incarnation } = this.options
    const self = directory.find(service, id)
    if (this.announced || self === undefined) return
    this.announced = true
    directory.announceStarted(self, incarnation)
  }

  private isLeaving (): boolean {
    const { directory, service, id } = this.options
    return directory.find(service, id)?.state === 'leaving'
  }

  private startDrain (): void {
    if (this.pending !== undefined || this.drained) return
    const { clock, logger, drain, profileOf, service, id } = this.options
    const { newWorkMs } = profileOf(service).drain
    logger.info('leaving', { target: id, newWorkMs })
    this.pending = clock.after(newWorkMs, () => {
      this.pending = undefined
      this.drained = true
      drain()
    })
  }

  private cancelDrain (): void {
    this.pending?.()
    this.pending = undefined
    if (!this.drained) return
    this.drained = false
    this.options.logger.info('live-again', { target: this.options.id })
    this.options.open()
  }
}
