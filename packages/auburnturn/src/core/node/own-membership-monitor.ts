import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'
import type { Part } from '../supervisor/types.js'

/** Identity of the target on this VM, and the actions that its listed state triggers. */
export interface OwnMembershipMonitorOptions {
  readonly id: string
  readonly incarnation: string
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  /** Starts to refuse new and queued work. */
  readonly drain: () => void
  /** Accepts new work again. */
  readonly open: () => void
  readonly getProfile: (service: string) => Profile
}

/**
 * Monitors the target on this VM in the member list. When the list marks the target as leaving, closes admission after the
 * profile's `newWorkMs`, and reopens it when the target is live again. Announces this incarnation once, when the list
 * contains the target.
 */
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
    const monitor = new OwnMembershipMonitor(options)
    monitor.subscribeToChanges()
    return monitor
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

  /** Announces this incarnation to other nodes, once. */
  private announceStart (): void {
    const { directory, service, id, incarnation } = this.options
    const ownMember = directory.find(service, id)
    if (this.startAnnounced || ownMember === undefined) return
    this.startAnnounced = true
    directory.announceStarted(ownMember, incarnation)
  }

  private isLeaving (): boolean {
    const { directory, service, id } = this.options
    return directory.find(service, id)?.state === 'leaving'
  }

  private scheduleDrain (): void {
    if (this.cancelPendingDrain !== undefined || this.drained) return
    const { clock, logger, drain, getProfile, service, id } = this.options
    const { newWorkMs } = getProfile(service).drain
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
