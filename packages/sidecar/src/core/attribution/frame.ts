import { isCallNumber } from './call-numbers.js'

/** What an answer frame must repeat: the number of the call that it answers, and the id of the request in it. */
export interface CallMark {
  readonly number: string
  readonly request: string
}

/** Returns the fields of a call with its number. */
export function numberCall (number: string, fields: readonly string[]): string[] {
  return [number, ...fields]
}

/** Reads the number of a call and its other fields; undefined if they are in another format. */
export function readCall ([number, ...fields]: readonly string[]): NumberedFields | undefined {
  return number !== undefined && isCallNumber(number) ? { number, fields } : undefined
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
