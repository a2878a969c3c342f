import { headerNames } from '../call/index.js'
import type { Answer, Call, Outcome, RawHeaders } from '../call/types.js'
import type { IdentificationResult } from '../http/index.js'

/** Adds an empty list of tried targets to a call whose caller requested it with the header value `wanted`. */
export function addTriedTargetsRecord (identified: IdentificationResult, headerValue: unknown): IdentificationResult {
  if (identified.kind === 'refused' || headerValue !== 'wanted') return identified
  return { kind: 'call', call: { ...identified.call, triedTargets: [] } }
}

/** Records that a call is sent to `target`. The returned function records the outcome of this attempt. */
export function recordAttempt (call: Call, target: string): (outcome: Outcome) => void {
  const { triedTargets: tried } = call
  if (tried === undefined) return () => {}
  const index = tried.push(target) - 1
  return ({ verdict }) => {
    if (verdict.kind !== 'done') tried[index] = `${target} (${verdict.kind}, ${verdict.cause})`
  }
}

/** Formats the tried targets, in order, as a header value; undefined when the caller did not request them. */
export function formatTriedTargets ({ triedTargets: tried }: Call): string | undefined {
  return tried === undefined ? undefined : tried.join(', ')
}

/** An answer that adds the tried targets of its call to the head. */
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

  writeHead (status: number, reason: string, headers: RawHeaders): void {
    this.answer.writeHead(status, reason, [...headers, headerNames.triedTargets, formatTriedTargets(this.call) ?? ''])
  }

  writeInformational (status: number, headers: RawHeaders): void { this.answer.writeInformational(status, headers) }
  writeData (chunk: Uint8Array): Promise<void> | undefined { return this.answer.writeData(chunk) }
  end (trailers: RawHeaders): void { this.answer.end(trailers) }
  cut (): void { this.answer.cut() }
}
