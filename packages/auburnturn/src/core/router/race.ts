import type { Answer, Outcome, RawHeaders } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { CancelSignal } from '../clock/index.js'

/** Lets several attempts at one call write to one answer: the first head wins, the others are cancelled. */
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

  /** One more attempt; it is cancelled when another wins or `signal` aborts. */
  addAttempt (signal: CancelSignal): RacingAttempt {
    const lane = new RacingAttempt(this, signal)
    this.attempts.push(lane)
    return lane
  }

  /** Where `lane` may write; undefined once another has won. */
  findAnswer (lane: RacingAttempt): Answer | undefined {
    return this.winner === undefined || this.winner === lane ? this.answer : undefined
  }

  /** Gives the answer to `lane` unless another has it. */
  claimAnswer (lane: RacingAttempt): Answer | undefined {
    if (this.winner === undefined) {
      this.winner = lane
      for (const other of this.attempts) if (other !== lane) other.cancel()
    }
    return this.findAnswer(lane)
  }
}

/** The answer as one attempt sees it. */
export class RacingAttempt implements Answer {
  private readonly race: Race
  private readonly cancellation = Cancellation.create()
  readonly close: () => void

  constructor (race: Race, signal: CancelSignal) {
    this.race = race
    const leave = (): void => { this.cancel() }
    if (signal.aborted) leave()
    else signal.addEventListener('abort', leave, { once: true })
    this.close = () => { signal.removeEventListener('abort', leave) }
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

  inform (status: number, headers: RawHeaders): void {
    this.race.findAnswer(this)?.inform(status, headers)
  }

  head (status: number, reason: string, headers: RawHeaders): void {
    this.race.claimAnswer(this)?.head(status, reason, headers)
  }

  data (chunk: Uint8Array): Promise<void> | undefined {
    return this.race.claimAnswer(this)?.data(chunk)
  }

  end (trailers: RawHeaders): void {
    this.race.claimAnswer(this)?.end(trailers)
  }

  cut (): void {
    this.race.claimAnswer(this)?.cut()
  }
}

/** The outcome of two failed attempts at one call: it may have run if either may have. */
export function combineOutcomes (one: Outcome, other: Outcome): Outcome {
  if (one.verdict.kind === 'done') return one
  if (other.verdict.kind === 'done') return other
  return one.verdict.kind === 'may-have-run' ? one : other
}
