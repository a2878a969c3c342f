import { findHeader } from 'auburnturn/core/http'
import { isCallNumber } from './call-numbers.js'

/** Header of a read of state from another node: the number of the read in the request; number and path in the answer. */
const readHeader = 'auburnturn-read'

/** What the answer to a read must repeat. */
export interface ReadMark {
  readonly number: string
  readonly path: string
}

/** Returns the request headers of a read. */
export function formatRead ({ number }: ReadMark): string[] {
  return [readHeader, number]
}

/** Reads the mark of a received read from its path and its headers; undefined if it has none. */
export function parseRead (path: string, headers: readonly string[]): ReadMark | undefined {
  const number = findHeader(headers, readHeader)
  return number !== undefined && isCallNumber(number) ? { number, path } : undefined
}

/** Returns the answer headers that name the read. */
export function formatReadAnswer ({ number, path }: ReadMark): string[] {
  return [readHeader, `${number} ${path}`]
}

/** Whether an answer head belongs to the read. */
export function isReadAnswer ({ number, path }: ReadMark, headers: readonly string[]): boolean {
  return findHeader(headers, readHeader) === `${number} ${path}`
}
