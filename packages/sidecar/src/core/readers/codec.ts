import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'

/** First byte of each datagram; the numbers before these are reports. */
export const layouts = { reader: 4, changes: 5 } as const

const states: readonly ReaderState[] = ['trying', 'reading', 'failing', 'stopped']
const readerBytes = 14

/** Longest datagram that is sent whole over every link, in bytes. */
const maxBytes = 1_400

/** Longest text that a datagram is unpacked to, in bytes. */
const maxInflatedBytes = 256 * 1024

/** Packs a notice: state, revision, version, then the failure domain. */
export function encodeReader ({ state, failureDomain, revision, configurationVersion }: ReaderNotice): Buffer {
  const head = Buffer.alloc(readerBytes)
  head.writeUInt8(layouts.reader, 0)
  head.writeUInt8(states.indexOf(state), 1)
  head.writeUIntLE(revision, 2, 6)
  head.writeUIntLE(configurationVersion, 8, 6)
  return Buffer.concat([head, Buffer.from(failureDomain, 'latin1')])
}

/** Undefined for anything that is not a whole notice. */
export function decodeReader (bytes: Buffer): ReaderNotice | undefined {
  if (bytes.length < readerBytes || bytes[0] !== layouts.reader) return undefined
  const state = states[bytes.readUInt8(1)]
  if (state === undefined) return undefined
  return { kind: 'reader', state, failureDomain: bytes.toString('latin1', readerBytes), revision: bytes.readUIntLE(2, 6), configurationVersion: bytes.readUIntLE(8, 6) }
}

/** Packs changes as compressed JSON; undefined when they are too many for one datagram: then the others ask for the whole list. */
export function encodeChanges ({ from, to, changes }: ChangesNotice): Buffer | undefined {
  const bytes = Buffer.concat([Buffer.from([layouts.changes]), deflateRawSync(JSON.stringify({ from, to, changes }))])
  return bytes.length <= maxBytes ? bytes : undefined
}

/** Undefined for anything that is not a whole notice. */
export function decodeChanges (bytes: Buffer): ChangesNotice | undefined {
  if (bytes[0] !== layouts.changes) return undefined
  try {
    const text = inflateRawSync(bytes.subarray(1), { maxOutputLength: maxInflatedBytes }).toString()
    const { from, to, changes } = JSON.parse(text) as ChangesNotice
    return Number.isFinite(from) && Number.isFinite(to) && Array.isArray(changes) ? { kind: 'changes', from, to, changes } : undefined
  } catch {
    // The receiver logs datagrams that can't be read.
    return undefined
  }
}
