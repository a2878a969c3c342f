import type { Clock } from '../clock/index.js'
import type { Confirmation, EntrySource } from './types.js'

/** How recently the platform responded, to this node or to the nodes that report to it. Ages are in milliseconds. */
export class Freshness {
  private readonly clock: Clock
  private confirmation: Confirmation | undefined
  private platformContactAt: number | undefined
  private ownAnswerAt: number | undefined
  private lastVersionsBehind = 0

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Freshness {
    return new Freshness(clock)
  }

  /** Records that the stored entries were the platform's newest `ageMs` ago. */
  confirm (source: EntrySource, ageMs: number): void {
    const confirmedAt = this.clock.now() - ageMs
    if (this.confirmation === undefined || confirmedAt > this.confirmation.confirmedAt) this.confirmation = { source, confirmedAt }
  }

  /** Records that the platform responded to some reader `ageMs` ago. */
  recordPlatformContact (ageMs: number): void {
    this.platformContactAt = Math.max(this.platformContactAt ?? -Infinity, this.clock.now() - ageMs)
  }

  /**
   * Records that the platform responded to this node just now. `versionsBehind` is the lag of its response behind the
   * highest known version, or 0.
   */
  recordPlatformAnswer (versionsBehind: number): void {
    this.ownAnswerAt = this.clock.now()
    this.lastVersionsBehind = versionsBehind
    this.recordPlatformContact(0)
  }

  /** Age of the last confirmation that the stored entries are the newest. */
  get confirmedAgeMs (): number | undefined { return this.computeAgeMs(this.confirmation?.confirmedAt) }

  /** Age of the platform's last response to any reader. */
  get platformContactAgeMs (): number | undefined { return this.computeAgeMs(this.platformContactAt) }

  /** Age of the platform's last response to this node. */
  get ownAnswerAgeMs (): number | undefined { return this.computeAgeMs(this.ownAnswerAt) }

  /** How many versions the platform's last response to this node was behind the highest known version. */
  get versionsBehind (): number { return this.lastVersionsBehind }

  dump (): Record<string, unknown> {
    return {
      confirmedAgeMs: this.confirmedAgeMs ?? null,
      source: this.confirmation?.source ?? 'none',
      platformSilentMs: this.platformContactAgeMs ?? null,
      platformBehindBy: this.versionsBehind
    }
  }

  private computeAgeMs (at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.max(0, this.clock.now() - at)
  }
}
