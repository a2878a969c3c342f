import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { maxDecompressedBytes } from './constants.js'

/** Packs what one node tells another: lists of targets repeat themselves, and bytes between failure domains are dear. */
export function compressJson (value: unknown): Buffer {
  return deflateRawSync(JSON.stringify(value))
}

/** What another node told. Throws when it can't be unpacked, or is longer than any state. */
export function decompressJson (bytes: Buffer): unknown {
  return JSON.parse(inflateRawSync(bytes, { maxOutputLength: maxDecompressedBytes }).toString())
}
