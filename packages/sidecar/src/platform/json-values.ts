/** Type checks for JSON from untrusted sources: a value of another type is treated as missing. */

/** A JSON object whose fields have not been checked. */
export type JsonObject = Readonly<Record<string, unknown>>

/** Returns the value if it is an object, but not an array. */
export function asJsonObject (value: unknown): JsonObject | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : undefined
}

/** Returns the value if it is a string that is not empty. */
export function asNonEmptyString (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

/** Returns the value if it is a finite number of at least 0. */
export function asNonNegativeNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined
}

/** Parses JSON; undefined if it is invalid. */
export function parseJson (bytes: Buffer | string): unknown {
  try {
    return JSON.parse(bytes.toString()) as unknown
  } catch {
    // The calling code logs invalid JSON together with its source.
    return undefined
  }
}
