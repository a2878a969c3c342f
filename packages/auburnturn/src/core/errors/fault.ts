import { errors } from './errors-data.js'
import type { FaultName } from './types.js'

/** An error from the catalogue. `tag` identifies the kind of error. */
export class Fault extends Error {
  readonly tag: FaultName
  readonly detail: string

  private constructor (tag: FaultName, detail: string, cause?: unknown) {
    super(errors[tag].message(detail), { cause })
    this.name = 'Fault'
    this.tag = tag
    this.detail = detail
  }

  static create (tag: FaultName, detail: string, cause?: unknown): Fault {
    return new Fault(tag, detail, cause)
  }
}

/** Whether a thrown value is an error from the catalogue. */
export function isFault (value: unknown): value is Fault {
  return value instanceof Fault
}

/** Formats the message and the hint for users, without a stack trace. */
export function describeFault (fault: Fault): string {
  const { hint } = errors[fault.tag]
  return hint === undefined ? fault.message : `${fault.message}\nHint: ${hint}`
}
