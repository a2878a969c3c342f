import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { maxDecompressedBytes } from './constants.js'

/** Compresses data for another node: lists of targets are repetitive, and traffic between failure domains is expensive. */
export function compressJson (value: unknown): Buffer {
  return deflateRawSync(JSON.stringify(value))
}

/** Decompresses data from another node. Throws when the data is damaged, or too large to be a valid state. */
export function decompressJson (bytes: Buffer): unknown {
  return JSON.parse(inflateRawSync(bytes, { maxOutputLength: maxDecompressedBytes }).toString())
}
