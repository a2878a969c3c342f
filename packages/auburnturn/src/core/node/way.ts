import { headerNames } from '../call/index.js'
import type { Answer, Call, Outcome, RawHeaders } from '../call/types.js'
import type { IdentificationResult } from '../http/index.js'

/** Gives a call a record of its way when its caller asked for one. */
export function recordWay (identified: IdentificationResult, asked: unknown): IdentificationResult {
  if (identified.kind === 'refused' || asked !== 'wanted') return identified
  return { kind: 'call', call: { ...identified.call, triedTargets: [] } }
}

/** Notes that a call is sent to `target`; the function that is returned notes what became of it. */
export function noteAttempt (call: Call, target: string): (outcome: Outcome) => void {
  const { triedTargets: way } = call
  if (way === undefined) return () => {}
  const index = way.push(target) - 1
  return ({ verdict }) => {
    if (verdict.kind !== 'done') way[index] = `${target} (${verdict.kind}, ${verdict.cause})`
  }
}

/** The way as a header value: the targets that were tried, in order. */
export function formatWay ({ triedTargets: way }: Call): string | undefined {
  return way === undefined ? undefined : way.join(', ')
}

/** An answer whose head tells the way of its call. */
export class AnswerWithWay implements Answer {
  private readonly call: Call
  private readonly answer: Answer

  private constructor (call: Call, answer: Answer) {
    this.call = call
    this.answer = answer
  }

  static create (call: Call, answer: Answer): AnswerWithWay {
    return new AnswerWithWay(call, answer)
  }

  get started (): boolean { return this.answer.started }

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    this.answer.writeHead(status, reason, [...headers, headerNames.triedTargets, formatWay(this.call) ?? ''])
  }

  writeInformational (status: number, headers: RawHeaders): void { this.answer.writeInformational(status, headers) }
  writeData (chunk: Uint8Array): Promise<void> | undefined { return this.answer.writeData(chunk) }
  end (trailers: RawHeaders): void { this.answer.end(trailers) }
  cut (): void { this.answer.cut() }
}
