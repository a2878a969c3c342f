import type { NotRunCause } from '../verdict/index.js'
import { outcomeOverheadBytes } from './constants.js'
import type { LedgerLimits, RecordedAnswer } from './types.js'

/** Result of the call that a ticket was issued for. */
export type TicketOutcome =
  | { readonly kind: 'done', readonly answer: RecordedAnswer }
  | { readonly kind: 'refused', readonly cause: NotRunCause, readonly successor: string }

interface CachedOutcome {
  readonly request: string
  readonly outcome: TicketOutcome
  readonly expiresAt: number
  readonly bytes: number
}

/** Caches outcomes by serial, oldest first, up to a maximum age and a maximum total size. */
export class OutcomeCache {
  private readonly entries = new Map<number, CachedOutcome>()
  private usedBytes = 0

  private constructor () {}

  static create (): OutcomeCache {
    return new OutcomeCache()
  }

  get size (): number { return this.entries.size }
  get bytes (): number { return this.usedBytes }

  find (serial: number): CachedOutcome | undefined {
    return this.entries.get(serial)
  }

  /** Adds an outcome and evicts the oldest ones until the total size is within `limits.memoryBytes`. */
  add (serial: number, request: string, outcome: TicketOutcome, now: number, limits: LedgerLimits): void {
    const bytes = outcomeOverheadBytes + request.length + estimateBytes(outcome)
    this.entries.set(serial, { request, outcome, bytes, expiresAt: now + limits.windowMs })
    this.usedBytes += bytes
    for (const oldest of this.entries.keys()) {
      if (this.usedBytes <= limits.memoryBytes) return
      this.evict(oldest)
    }
  }

  /** Evicts the expired outcomes. An outcome stays stored until the first call after its expiry. */
  expire (now: number): void {
    for (const [serial, entry] of this.entries) {
      if (entry.expiresAt > now) return
      this.evict(serial)
    }
  }

  private evict (serial: number): void {
    this.usedBytes -= this.entries.get(serial)?.bytes ?? 0
    this.entries.delete(serial)
  }
}

function estimateBytes (outcome: TicketOutcome): number {
  switch (outcome.kind) {
    case 'refused': return outcome.successor.length
    case 'done': return outcome.answer.body.length + countCharacters(outcome.answer.headers) + countCharacters(outcome.answer.trailers)
  }
}

function countCharacters (texts: readonly string[]): number {
  let total = 0
  for (const text of texts) total += text.length
  return total
}
