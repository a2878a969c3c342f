import { errors } from './errors-data.js'
import type { FaultName } from './types.js'

/** An error with a tag from the catalogue. `tag` discriminates the union. */
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

/** Tells a fault of the catalogue from any other thrown value. */
export function isFault (value: unknown): value is Fault {
  return value instanceof Fault
}

/** The message and hint for a person, without a stack. */
export function describeFault (fault: Fault): string {
  const { hint } = errors[fault.tag]
  return hint === undefined ? fault.message : `${fault.message}\nHint: ${hint}`
}
