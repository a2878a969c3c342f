import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'

/** First byte of each datagram; the numbers before these are reports. */
export const datagramTypes = { reader: 4, changes: 5 } as const

const readerStates: readonly ReaderState[] = ['trying', 'reading', 'failing', 'stopped']
const readerHeaderBytes = 14

/** Longest datagram that is sent whole over every link, in bytes. */
const maxDatagramBytes = 1_400

/** Longest text that a datagram is unpacked to, in bytes. */
const maxInflatedBytes = 256 * 1024

/** Packs a notice: state, revision, version, then the failure domain. */
export function encodeReaderNotice ({ state, failureDomain, revision, configurationVersion }: ReaderNotice): Buffer {
  const head = Buffer.alloc(readerHeaderBytes)
  head.writeUInt8(datagramTypes.reader, 0)
  head.writeUInt8(readerStates.indexOf(state), 1)
  head.writeUIntLE(revision, 2, 6)
  head.writeUIntLE(configurationVersion, 8, 6)
  return Buffer.concat([head, Buffer.from(failureDomain, 'latin1')])
}

/** Undefined for anything that is not a whole notice. */
export function decodeReaderNotice (bytes: Buffer): ReaderNotice | undefined {
  if (bytes.length < readerHeaderBytes || bytes[0] !== datagramTypes.reader) return undefined
  const state = readerStates[bytes.readUInt8(1)]
  if (state === undefined) return undefined
  return { kind: 'reader', state, failureDomain: bytes.toString('latin1', readerHeaderBytes), revision: bytes.readUIntLE(2, 6), configurationVersion: bytes.readUIntLE(8, 6) }
}

/** Packs changes as compressed JSON; undefined when they are too many for one datagram: then the others ask for the whole list. */
export function encodeChangesNotice ({ from, to, changes }: ChangesNotice): Buffer | undefined {
  const bytes = Buffer.concat([Buffer.from([datagramTypes.changes]), deflateRawSync(JSON.stringify({ from, to, changes }))])
  return bytes.length <= maxDatagramBytes ? bytes : undefined
}

/** Undefined for anything that is not a whole notice. */
export function decodeChangesNotice (bytes: Buffer): ChangesNotice | undefined {
  if (bytes[0] !== datagramTypes.changes) return undefined
  try {
    const text = inflateRawSync(bytes.subarray(1), { maxOutputLength: maxInflatedBytes }).toString()
    const { from, to, changes } = JSON.parse(text) as ChangesNotice
    return Number.isFinite(from) && Number.isFinite(to) && Array.isArray(changes) ? { kind: 'changes', from, to, changes } : undefined
  } catch {
    // The receiver logs datagrams that can't be read.
    return undefined
  }
}
