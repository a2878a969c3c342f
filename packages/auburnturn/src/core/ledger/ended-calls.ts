import type { NotRunCause } from '../verdict/index.js'
import { recordOverheadBytes } from './constants.js'
import type { LedgerLimits, RecordedAnswer } from './types.js'

/** How a ticket's call ended. */
export type Ending =
  | { readonly kind: 'done', readonly answer: RecordedAnswer }
  | { readonly kind: 'refused', readonly cause: NotRunCause, readonly successor: string }

interface EndedCall {
  readonly request: string
  readonly ending: Ending
  readonly expiresAt: number
  readonly bytes: number
}

/** Endings by serial, oldest first, within a time window and a bound of memory. */
export class EndedCalls {
  private readonly calls = new Map<number, EndedCall>()
  private held = 0

  private constructor () {}

  static create (): EndedCalls {
    return new EndedCalls()
  }

  get size (): number { return this.calls.size }
  get bytes (): number { return this.held }

  find (serial: number): EndedCall | undefined {
    return this.calls.get(serial)
  }

  /** Keeps an ending and drops the oldest ones that no longer fit. */
  add (serial: number, request: string, ending: Ending, now: number, limits: LedgerLimits): void {
    const bytes = recordOverheadBytes + request.length + sizeOf(ending)
    this.calls.set(serial, { request, ending, bytes, expiresAt: now + limits.windowMs })
    this.held += bytes
    for (const oldest of this.calls.keys()) {
      if (this.held <= limits.memoryBytes) return
      this.drop(oldest)
    }
  }

  /** Drops what is past its window. A late call of this only keeps endings longer. */
  expire (now: number): void {
    for (const [serial, call] of this.calls) {
      if (call.expiresAt > now) return
      this.drop(serial)
    }
  }

  private drop (serial: number): void {
    this.held -= this.calls.get(serial)?.bytes ?? 0
    this.calls.delete(serial)
  }
}

function sizeOf (ending: Ending): number {
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
