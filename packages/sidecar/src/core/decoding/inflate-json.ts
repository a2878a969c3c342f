import { inflateRawSync } from 'node:zlib'
import { parseJson } from './json-values.js'

/** Decompresses JSON of at most `maxBytes`; undefined when it is damaged, larger, or nested too deep. The caller logs that. */
export function inflateJson (bytes: Buffer, maxBytes: number): unknown {
  try {
    return parseJson(inflateRawSync(bytes, { maxOutputLength: maxBytes }))
  } catch {
    return undefined
  }
}
