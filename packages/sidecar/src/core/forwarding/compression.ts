import { deflateRawSync } from 'node:zlib'
import { inflateJson } from '../decoding/index.js'
import { maxDecompressedBytes } from './constants.js'

/** Compresses data for another node: lists of targets are repetitive, and traffic between failure domains is expensive. */
export function compressJson (value: unknown): Buffer {
  return deflateRawSync(JSON.stringify(value))
}

/** Decompresses data from another node; undefined when it is damaged, or too large or nested too deep to be a valid state. */
export function decompressJson (bytes: Buffer): unknown {
  return inflateJson(bytes, maxDecompressedBytes)
}
