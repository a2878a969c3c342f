import type { NotRunCause } from '../verdict/index.js'
import { outcomeOverheadBytes } from './constants.js'
import type { LedgerLimits, RecordedAnswer } from './types.js'

/** How a ticket's call ended. */
export type TicketOutcome =
  | { readonly kind: 'done', readonly answer: RecordedAnswer }
  | { readonly kind: 'refused', readonly cause: NotRunCause, readonly successor: string }

interface CachedOutcome {
  readonly request: string
  readonly outcome: TicketOutcome
  readonly expiresAt: number
  readonly bytes: number
}

/** Endings by serial, oldest first, within a time window and a bound of memory. */
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

  /** Keeps an ending and drops the oldest ones that no longer fit. */
  add (serial: number, request: string, ending: TicketOutcome, now: number, limits: LedgerLimits): void {
    const bytes = outcomeOverheadBytes + request.length + estimateBytes(ending)
    this.entries.set(serial, { request, outcome: ending, bytes, expiresAt: now + limits.windowMs })
    this.usedBytes += bytes
    for (const oldest of this.entries.keys()) {
      if (this.usedBytes <= limits.memoryBytes) return
      this.evict(oldest)
    }
  }

  /** Drops what is past its window. A late call of this only keeps endings longer. */
  expire (now: number): void {
    for (const [serial, call] of this.entries) {
      if (call.expiresAt > now) return
      this.evict(serial)
    }
  }

  private evict (serial: number): void {
    this.usedBytes -= this.entries.get(serial)?.bytes ?? 0
    this.entries.delete(serial)
  }
}

function estimateBytes (ending: TicketOutcome): number {
  switch (ending.kind) {
    case 'refused': return ending.successor.length
    case 'done': return ending.answer.body.length + countCharacters(ending.answer.headers) + countCharacters(ending.answer.trailers)
  }
}

function countCharacters (texts: readonly string[]): number {
  let total = 0
  for (const text of texts) total += text.length
  return total
}
