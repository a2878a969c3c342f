import type { Answer, Outcome, RawHeaders } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { CancelSignal } from '../clock/index.js'

/** Lets concurrent attempts at one call share one answer: the first to write its head wins, the others are cancelled. */
export class Race {
  private readonly answer: Answer
  private readonly attempts: RacingAttempt[] = []
  private winner: RacingAttempt | undefined

  private constructor (answer: Answer) {
    this.answer = answer
  }

  static create (answer: Answer): Race {
    return new Race(answer)
  }

  /** Adds an attempt, which is cancelled when another one wins or when `signal` aborts. */
  addAttempt (signal: CancelSignal): RacingAttempt {
    const attempt = new RacingAttempt(this, signal)
    this.attempts.push(attempt)
    return attempt
  }

  /** The answer if `attempt` may write to it; undefined once another attempt has won. */
  findAnswer (attempt: RacingAttempt): Answer | undefined {
    return this.winner === undefined || this.winner === attempt ? this.answer : undefined
  }

  /** Makes `attempt` the winner unless there is one; returns the answer if `attempt` is the winner. */
  claimAnswer (attempt: RacingAttempt): Answer | undefined {
    if (this.winner === undefined) {
      this.winner = attempt
      for (const other of this.attempts) if (other !== attempt) other.cancel()
    }
    return this.findAnswer(attempt)
  }
}

/** The answer that one attempt of a race writes to; writes are ignored once another attempt has won. */
export class RacingAttempt implements Answer {
  private readonly race: Race
  private readonly cancellation = Cancellation.create()
  /** Removes the listener on the signal of the call. */
  readonly close: () => void

  constructor (race: Race, signal: CancelSignal) {
    this.race = race
    const onAbort = (): void => { this.cancel() }
    if (signal.aborted) onAbort()
    else signal.addEventListener('abort', onAbort, { once: true })
    this.close = () => { signal.removeEventListener('abort', onAbort) }
  }

  get signal (): CancelSignal {
    return this.cancellation
  }

  get started (): boolean {
    return this.race.findAnswer(this)?.started ?? true
  }

  cancel (): void {
    this.cancellation.abort()
  }

  writeInformational (status: number, headers: RawHeaders): void {
    this.race.findAnswer(this)?.writeInformational(status, headers)
  }

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    this.race.claimAnswer(this)?.writeHead(status, reason, headers)
  }

  writeData (chunk: Uint8Array): Promise<void> | undefined {
    return this.race.claimAnswer(this)?.writeData(chunk)
  }

  end (trailers: RawHeaders): void {
    this.race.claimAnswer(this)?.end(trailers)
  }

  cut (): void {
    this.race.claimAnswer(this)?.cut()
  }
}

/** Combines the outcomes of two attempts at one call: the one that is done, else the one that may have run. */
export function combineOutcomes (one: Outcome, other: Outcome): Outcome {
  if (one.verdict.kind === 'done') return one
  if (other.verdict.kind === 'done') return other
  return one.verdict.kind === 'may-have-run' ? one : other
}
