import type { Clock } from '../clock/index.js'
import type { Confirmation, EntrySource } from './types.js'

/** How lately the platform was heard, by this node and by those it hears from. Ages are milliseconds. */
export class Freshness {
  private readonly clock: Clock
  private confirmation: Confirmation | undefined
  private heardAt: number | undefined
  private answeredAt: number | undefined
  private behind = 0

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Freshness {
    return new Freshness(clock)
  }

  /** What is held was the platform's newest `ageMs` ago. */
  confirm (source: EntrySource, ageMs: number): void {
    const at = this.clock.now() - ageMs
    if (this.confirmation === undefined || at > this.confirmation.at) this.confirmation = { source, at }
  }

  /** Some reader heard the platform `ageMs` ago. */
  hear (ageMs: number): void {
    this.heardAt = Math.max(this.heardAt ?? -Infinity, this.clock.now() - ageMs)
  }

  /** The platform answered this node now; `behindBy` versions less than known, or 0. */
  noteAnswer (behindBy: number): void {
    this.answeredAt = this.clock.now()
    this.behind = behindBy
    this.hear(0)
  }

  get confirmedMs (): number | undefined { return this.ageOf(this.confirmation?.at) }
  get heardMs (): number | undefined { return this.ageOf(this.heardAt) }
  get answeredMs (): number | undefined { return this.ageOf(this.answeredAt) }

  /** How many versions the platform's last answer to this node was behind what is known. */
  get behindBy (): number { return this.behind }

  dump (): Record<string, unknown> {
    return {
      confirmedAgeMs: this.confirmedMs ?? null,
      source: this.confirmation?.source ?? 'none',
      platformSilentMs: this.heardMs ?? null,
      platformBehindBy: this.behindBy
    }
  }

  private ageOf (at: number | undefined): number | undefined {
    return at === undefined ? undefined : Math.max(0, this.clock.now() - at)
  }
}
