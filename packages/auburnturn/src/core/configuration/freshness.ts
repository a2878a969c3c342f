import type { Clock } from '../clock/index.js'
import type { Confirmation, EntrySource } from './types.js'

/** How lately the platform was heard, by this node and by those it hears from. Ages are milliseconds. */
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

  /** What is held was the platform's newest `ageMs` ago. */
  confirm (source: EntrySource, ageMs: number): void {
    const at = this.clock.now() - ageMs
    if (this.confirmation === undefined || at > this.confirmation.confirmedAt) this.confirmation = { source, confirmedAt: at }
  }

  /** Some reader heard the platform `ageMs` ago. */
  recordPlatformContact (ageMs: number): void {
    this.platformContactAt = Math.max(this.platformContactAt ?? -Infinity, this.clock.now() - ageMs)
  }

  /** The platform answered this node now; `behindBy` versions less than known, or 0. */
  recordPlatformAnswer (behindBy: number): void {
    this.ownAnswerAt = this.clock.now()
    this.lastVersionsBehind = behindBy
    this.recordPlatformContact(0)
  }

  get confirmedAgeMs (): number | undefined { return this.ageOf(this.confirmation?.confirmedAt) }
  get platformContactAgeMs (): number | undefined { return this.ageOf(this.platformContactAt) }
  get ownAnswerAgeMs (): number | undefined { return this.ageOf(this.ownAnswerAt) }

  /** How many versions the platform's last answer to this node was behind what is known. */
  get versionsBehind (): number { return this.lastVersionsBehind }

  dump (): Record<string, unknown> {
    return {
      confirmedAgeMs: this.confirmedAgeMs ?? null,
      source: this.confirmation?.source ?? 'none',
      platformSilentMs: this.platformContactAgeMs ?? null,
      platformBehindBy: this.versionsBehind
    }
  }

  private ageOf (at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.max(0, this.clock.now() - at)
  }
}
