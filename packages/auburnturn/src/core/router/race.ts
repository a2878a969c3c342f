import type { Answer, Outcome, RawHeaders } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { CancelSignal } from '../clock/index.js'

/** Lets several attempts at one call write to one answer: the first head wins, the others are cancelled. */
export class Race {
  private readonly answer: Answer
  private readonly lanes: Lane[] = []
  private winner: Lane | undefined

  private constructor (answer: Answer) {
    this.answer = answer
  }

  static create (answer: Answer): Race {
    return new Race(answer)
  }

  /** One more attempt; it is cancelled when another wins or `signal` aborts. */
  enter (signal: CancelSignal): Lane {
    const lane = new Lane(this, signal)
    this.lanes.push(lane)
    return lane
  }

  /** Where `lane` may write; undefined once another has won. */
  answerOf (lane: Lane): Answer | undefined {
    return this.winner === undefined || this.winner === lane ? this.answer : undefined
  }

  /** Gives the answer to `lane` unless another has it. */
  claim (lane: Lane): Answer | undefined {
    if (this.winner === undefined) {
      this.winner = lane
      for (const other of this.lanes) if (other !== lane) other.cancel()
    }
    return this.answerOf(lane)
  }
}

/** The answer as one attempt sees it. */
export class Lane implements Answer {
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
    return this.race.answerOf(this)?.started ?? true
  }

  cancel (): void {
    this.cancellation.abort()
  }

  writeInformational (status: number, headers: RawHeaders): void {
    this.race.answerOf(this)?.writeInformational(status, headers)
  }

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    this.race.claim(this)?.writeHead(status, reason, headers)
  }

  writeData (chunk: Uint8Array): Promise<void> | undefined {
    return this.race.claim(this)?.writeData(chunk)
  }

  end (trailers: RawHeaders): void {
    this.race.claim(this)?.end(trailers)
  }

  cut (): void {
    this.race.claim(this)?.cut()
  }
}

/** The outcome of two failed attempts at one call: it may have run if either may have. */
export function joinOutcomes (one: Outcome, other: Outcome): Outcome {
  if (one.verdict.kind === 'done') return one
  if (other.verdict.kind === 'done') return other
  return one.verdict.kind === 'may-have-run' ? one : other
}
