import { maxDurationMs, maxInteger, maxNestingDepth, maxTextLength } from './constants.js'

/** Type checks for JSON from untrusted sources: a value of another type, or out of range, is treated as missing. */

/** A JSON object whose fields have not been checked. */
export type JsonObject = Readonly<Record<string, unknown>>

/** Characters that headers, datagrams and frames between nodes carry unchanged: printable latin1. */
const textPattern = /^[\u0020-\u007e\u00a0-\u00ff]*$/

/** Paths that the HTTP client writes; it throws on other characters. */
const pathPattern = /^\/[\u0021-\u00ff]*$/

/** Characters of JSON texts that matter for their nesting. */
const quote = 0x22
const backslash = 0x5c
const openingBracket = 0x5b
const closingBracket = 0x5d
const openingBrace = 0x7b
const closingBrace = 0x7d

/** Returns the value if it is an object, but not an array. */
export function asJsonObject (value: unknown): JsonObject | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : undefined
}

/** Returns the value if it is a string that is not empty. */
export function asNonEmptyString (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

/** Returns the value if it is a string of at most `maxTextLength` printable latin1 characters, which may be empty. */
export function asText (value: unknown): string | undefined {
  return typeof value === 'string' && value.length <= maxTextLength && textPattern.test(value) ? value : undefined
}

/** Returns the value if it is a string; halves of characters in it are replaced, since they can't be encoded. */
export function asWellFormedString (value: unknown): string | undefined {
  return typeof value === 'string' ? Buffer.from(value).toString() : undefined
}

/** Returns the value if it can be the path of a request. */
export function asPath (value: unknown): string | undefined {
  return typeof value === 'string' && pathPattern.test(value) ? value : undefined
}

/** Returns the value if it is a number between 0 and `maxInteger`. */
export function asNonNegativeNumber (value: unknown): number | undefined {
  // Adding 0 turns -0 into 0.
  return typeof value === 'number' && value >= 0 && value <= maxInteger ? value + 0 : undefined
}

/** Returns the value if it is an integer between 0 and `maxInteger`: the datagrams between nodes carry no larger one. */
export function asInteger (value: unknown): number | undefined {
  return Number.isInteger(value) ? asNonNegativeNumber(value) : undefined
}

/** Returns the value in milliseconds if it is a non-negative number; a longer duration than timers allow is shortened to the longest. */
export function asDurationMs (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? Math.min(value + 0, maxDurationMs) : undefined
}

/** Parses JSON; undefined if it is invalid, or nested deeper than `maxNestingDepth`. */
export function parseJson (bytes: Buffer): unknown {
  if (isNestedTooDeep(bytes)) return undefined
  try {
    return JSON.parse(bytes.toString()) as unknown
  } catch {
    // The calling code logs invalid JSON together with its source.
    return undefined
  }
}

/** Whether a JSON text has too many levels. Parsing each level costs time and memory, and writing them ends in an error. */
function isNestedTooDeep (bytes: Buffer): boolean {
  let depth = 0
  let inString = false
  for (let index = 0; index < bytes.length; index++) {
    const character = bytes[index] as number
    if (character === quote) inString = !inString
    else if (inString && character === backslash) index++
    else if (!inString && (character === openingBracket || character === openingBrace) && ++depth > maxNestingDepth) return true
    else if (!inString && (character === closingBracket || character === closingBrace)) depth--
  }
  return false
}
