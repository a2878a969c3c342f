import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'
import type { Part } from '../supervisor/types.js'

/** What decides whether this node's own target takes new work. */
export interface OwnMembershipMonitorOptions {
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
export class OwnMembershipMonitor implements Part {
  private readonly options: OwnMembershipMonitorOptions
  private unsubscribe: Cancel = () => {}
  private cancelPendingDrain: Cancel | undefined
  private drained = false
  private startAnnounced = false

  private constructor (options: OwnMembershipMonitorOptions) {
    this.options = options
  }

  static create (options: OwnMembershipMonitorOptions): OwnMembershipMonitor {
    const own = new OwnMembershipMonitor(options)
    own.subscribeToChanges()
    return own
  }

  async close (): Promise<void> {
    this.unsubscribe()
    this.cancelPendingDrain?.()
  }

  dump (): unknown {
    return { leaving: this.isLeaving(), drained: this.drained }
  }

  private subscribeToChanges (): void {
    const { directory, clock, service, logger } = this.options
    this.unsubscribe = subscribe(clock, directory.changes,
      changed => { if (changed === service) this.refresh() },
      error => { logger.error('own-membership-failed', { error: String(error) }) })
    this.refresh()
  }

  private refresh (): void {
    this.announceStart()
    if (this.isLeaving()) this.scheduleDrain()
    else this.cancelDrain()
  }

  private announceStart (): void {
    const { directory, service, id, incarnation } = this.options
    const self = directory.find(service, id)
    if (this.startAnnounced || self === undefined) return
    this.startAnnounced = true
    directory.announceStarted(self, incarnation)
  }

  private isLeaving (): boolean {
    const { directory, service, id } = this.options
    return directory.find(service, id)?.state === 'leaving'
  }

  private scheduleDrain (): void {
    if (this.cancelPendingDrain !== undefined || this.drained) return
    const { clock, logger, drain, profileOf, service, id } = this.options
    const { newWorkMs } = profileOf(service).drain
    logger.info('leaving', { target: id, newWorkMs })
    this.cancelPendingDrain = clock.after(newWorkMs, () => {
      this.cancelPendingDrain = undefined
      this.drained = true
      drain()
    })
  }

  private cancelDrain (): void {
    this.cancelPendingDrain?.()
    this.cancelPendingDrain = undefined
    if (!this.drained) return
    this.drained = false
    this.options.logger.info('admission-reopened', { target: this.options.id })
    this.options.open()
  }
}
