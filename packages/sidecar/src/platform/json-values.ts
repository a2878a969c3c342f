/** Reads fields of values that anybody may have written: a field of another type counts as missing. */

export type JsonObject = Readonly<Record<string, unknown>>

export function asJsonObject (value: unknown): JsonObject | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : undefined
}

export function asNonEmptyString (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

export function asNonNegativeNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined
}

/** The JSON in bytes; undefined when there is none. */
export function parseJson (bytes: Buffer | string): unknown {
  try {
    return JSON.parse(bytes.toString()) as unknown
  } catch {
    // Callers log what can't be read, with where it came from.
    return undefined
  }
}
