import type { Random } from 'auburnturn/core/random'

/** Text of a call's number: the start of its process and the count, in base 36. */
const numberPattern = /^[0-9a-z]{1,8}-[0-9a-z]{1,11}$/

/** Bound of the random start of a process. */
const startBound = 0x8000_0000

/** What an answer frame must repeat: the number of the call that it answers, and the id of the request in it. */
export interface CallMark {
  readonly number: string
  readonly request: string
}

/** Numbers the calls of this process to other nodes. The random start sets them apart from those of its earlier process. */
export class CallNumbers {
  private readonly start: string
  private count = 0

  private constructor (start: number) {
    this.start = start.toString(36)
  }

  static create ({ random }: { random: Random }): CallNumbers {
    return new CallNumbers(random.integerBelow(startBound))
  }

  next (): string {
    return `${this.start}-${(this.count++).toString(36)}`
  }
}

/** Returns the fields of a call with its number. */
export function numberCall (number: string, fields: readonly string[]): string[] {
  return [number, ...fields]
}

/** Reads the number of a call and its other fields; undefined if they are in another format. */
export function readCall ([number, ...fields]: readonly string[]): NumberedFields | undefined {
  return number !== undefined && numberPattern.test(number) ? { number, fields } : undefined
}

/** Returns the fields of an answer with the mark of the call that it answers. */
export function markAnswer ({ number, request }: CallMark, fields: readonly string[]): string[] {
  return [number, request, ...fields]
}

/** Returns the other fields of an answer frame if it bears the mark of the call; undefined if it belongs to another one. */
export function attributeAnswer (mark: CallMark, [number, request, ...fields]: readonly string[]): readonly string[] | undefined {
  return number === mark.number && request === mark.request ? fields : undefined
}

/** The fields of a call after its number. */
interface NumberedFields {
  readonly number: string
  readonly fields: readonly string[]
}
