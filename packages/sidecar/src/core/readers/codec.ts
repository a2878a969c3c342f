import { deflateRawSync } from 'node:zlib'
import { asInteger, asJsonObject, asText, inflateJson } from '../decoding/index.js'
import { decodeSharedChanges } from '../store/index.js'
import type { ChangesNotice, ReaderNotice, ReaderState } from './types.js'

/**
 * Message type in the first byte of each datagram. Lower values are reports, see `reports/codec.ts`. Type 4 was a notice without an era,
 * which nodes of an earlier version send.
 */
export const messageTypes = { reader: 8, changes: 5 } as const

/** A state is encoded as its index. */
const readerStates: readonly ReaderState[] = ['trying', 'reading', 'failing', 'stopped']
const readerHeaderBytes = 20

/** Maximum size of a datagram, in bytes: every link carries it without fragmentation. */
const maxDatagramBytes = 1_400

/** Maximum decompressed size of a datagram, in bytes. */
const maxInflatedBytes = 256 * 1024

/** Encodes a notice: type, state (1 byte each), era, revision, configuration version (6 bytes each), then the failure domain. */
export function encodeReaderNotice ({ state, failureDomain, era, revision, configurationVersion }: ReaderNotice): Buffer {
  const header = Buffer.alloc(readerHeaderBytes)
  header.writeUInt8(messageTypes.reader, 0)
  header.writeUInt8(readerStates.indexOf(state), 1)
  header.writeUIntLE(era, 2, 6)
  header.writeUIntLE(revision, 8, 6)
  header.writeUIntLE(configurationVersion, 14, 6)
  return Buffer.concat([header, Buffer.from(failureDomain, 'latin1')])
}

/** Decodes a reader notice; undefined for any other or incomplete datagram. */
export function decodeReaderNotice (bytes: Buffer): ReaderNotice | undefined {
  if (bytes.length < readerHeaderBytes || bytes[0] !== messageTypes.reader) return undefined
  const state = readerStates[bytes.readUInt8(1)]
  const failureDomain = asText(bytes.toString('latin1', readerHeaderBytes))
  if (state === undefined || failureDomain === undefined) return undefined
  return { kind: 'reader', state, failureDomain, era: bytes.readUIntLE(2, 6), revision: bytes.readUIntLE(8, 6), configurationVersion: bytes.readUIntLE(14, 6) }
}

/**
 * Encodes changes as compressed JSON; undefined if they don't fit in a datagram, or are too large for the other nodes to decompress;
 * other nodes then request the list.
 */
export function encodeChangesNotice ({ era, from, to, changes }: ChangesNotice): Buffer | undefined {
  const text = Buffer.from(JSON.stringify({ era, from, to, changes }))
  if (text.length > maxInflatedBytes) return undefined
  const bytes = Buffer.concat([Buffer.from([messageTypes.changes]), deflateRawSync(text)])
  return bytes.length <= maxDatagramBytes ? bytes : undefined
}

/**
 * Decodes a changes notice; undefined for any other, incomplete or too large datagram, and if one of the changes can't be used: the
 * next notice of a revision makes this node request the list.
 */
export function decodeChangesNotice (bytes: Buffer): ChangesNotice | undefined {
  if (bytes[0] !== messageTypes.changes) return undefined
  const fields = asJsonObject(inflateJson(bytes.subarray(1), maxInflatedBytes))
  const era = asInteger(fields?.['era'])
  const from = asInteger(fields?.['from'])
  const to = asInteger(fields?.['to'])
  const changes = decodeSharedChanges(fields?.['changes'])
  return era === undefined || from === undefined || to === undefined || changes === undefined ? undefined : { kind: 'changes', era, from, to, changes }
}
