import { headerNames } from '../call/index.js'
import type { Answer, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Identified } from '../http/index.js'

/** Gives a call a record of its way when its caller asked for one. */
export function addTriedTargetsRecord (identified: Identified, asked: unknown): Identified {
  if (identified.kind === 'refused' || asked !== 'wanted') return identified
  return { kind: 'call', call: { ...identified.call, way: [] } }
}

/** Notes that a call is sent to `target`; the function that is returned notes what became of it. */
export function recordAttempt (call: Call, target: string): (outcome: Outcome) => void {
  const { way } = call
  if (way === undefined) return () => {}
  const index = way.push(target) - 1
  return ({ verdict }) => {
    if (verdict.kind !== 'done') way[index] = `${target} (${verdict.kind}, ${verdict.cause})`
  }
}

/** The way as a header value: the targets that were tried, in order. */
export function formatTriedTargets ({ way }: Call): string | undefined {
  return way === undefined ? undefined : way.join(', ')
}

/** An answer whose head tells the way of its call. */
export class AnswerWithTriedTargets implements Answer {
  private readonly call: Call
  private readonly answer: Answer

  private constructor (call: Call, answer: Answer) {
    this.call = call
    this.answer = answer
  }

  static create (call: Call, answer: Answer): AnswerWithTriedTargets {
    return new AnswerWithTriedTargets(call, answer)
  }

  get started (): boolean { return this.answer.started }

  head (status: number, reason: string, headers: RawHeaders): void {
    this.answer.head(status, reason, [...headers, headerNames.way, formatTriedTargets(this.call) ?? ''])
  }

  inform (status: number, headers: RawHeaders): void { this.answer.inform(status, headers) }
  data (chunk: Uint8Array): Promise<void> | undefined { return this.answer.data(chunk) }
  end (trailers: RawHeaders): void { this.answer.end(trailers) }
  cut (): void { this.answer.cut() }
}
