import { crc32 } from 'node:zlib'
import { asText } from '../decoding/index.js'
import { unlimited } from '../rate-limit/index.js'
import type { TargetReport, TargetState } from '../targets/index.js'

/** The complete state of a node's target, with the version of the node's active configuration. */
export interface Report {
  readonly kind: 'full'
  readonly target: TargetReport
  readonly configurationVersion: number
}

/** The fields of a report that change many times a second. */
export type Figures = Pick<TargetReport, 'state' | 'fresh' | 'running' | 'waiting' | 'limit' | 'slowness' | 'failures' | 'rateLimit' | 'rateAllowance'>

/** The figures of a target whose full report was sent before. It is short because traffic between failure domains is expensive. */
export interface ShortReport {
  readonly kind: 'short'
  /** Checksum of the target's id, as `computeIdChecksum`. */
  readonly idChecksum: number
  readonly figures: Figures
}

/** Request to receive the reports of the node to which it is sent. */
export interface Subscription {
  readonly kind: 'subscription'
}

/** Message type in the first byte of each datagram. Higher values are notices of store readers, see `readers/codec.ts`. */
const messageTypes = { full: 1, short: 2, subscription: 3 } as const
const figuresBytes = 14
const shortReportBytes = figuresBytes + 4
/** Length of the part of a full report that precedes its text fields. */
const fullReportHeaderBytes = figuresBytes + 6
const states: readonly TargetState[] = ['up', 'down', 'closing']
const freshBit = 4
const maxUint16 = 0xffff
const maxInt16 = 0x7fff

/** Encodes a full report: figures, configuration version, then id, service and failure domain, each prefixed by its length. */
export function encodeReport ({ target, configurationVersion }: Report): Buffer {
  const fields = [target.id, target.service, target.failureDomain].map(field => Buffer.from(field.slice(0, 255), 'latin1'))
  const bytes = Buffer.alloc(fullReportHeaderBytes + fields.reduce((sum, field) => sum + 1 + field.length, 0))
  writeFigures(bytes, messageTypes.full, target)
  bytes.writeUIntLE(configurationVersion, figuresBytes, 6)
  let offset = fullReportHeaderBytes
  for (const field of fields) {
    bytes.writeUInt8(field.length, offset)
    field.copy(bytes, offset + 1)
    offset += 1 + field.length
  }
  return bytes
}

/** Encodes a short report: figures, then the checksum of the id. */
export function encodeShortReport (target: TargetReport): Buffer {
  const bytes = Buffer.alloc(shortReportBytes)
  writeFigures(bytes, messageTypes.short, target)
  bytes.writeUInt32LE(computeIdChecksum(target.id), figuresBytes)
  return bytes
}

export function encodeSubscription (): Buffer {
  return Buffer.from([messageTypes.subscription])
}

/** Decodes a report or subscription. Returns undefined for anything that is not a complete one. */
export function decodeReport (bytes: Buffer): Report | ShortReport | Subscription | undefined {
  switch (bytes[0]) {
    case messageTypes.subscription: return { kind: 'subscription' }
    case messageTypes.full: return decodeFullReport(bytes)
    case messageTypes.short: return decodeShortReport(bytes)
    default: return undefined
  }
}

/** Returns the checksum (CRC-32) that identifies a target in short reports. */
export function computeIdChecksum (id: string): number {
  return crc32(id)
}

function decodeFullReport (bytes: Buffer): Report | undefined {
  if (bytes.length < fullReportHeaderBytes) return undefined
  const figures = readFigures(bytes)
  const fields = readTextFields(bytes)
  if (figures === undefined || fields === undefined) return undefined
  const [id, service, failureDomain] = fields as [string, string, string]
  return { kind: 'full', configurationVersion: bytes.readUIntLE(figuresBytes, 6), target: { id, service, failureDomain, ...figures } }
}

function decodeShortReport (bytes: Buffer): ShortReport | undefined {
  if (bytes.length !== shortReportBytes) return undefined
  const figures = readFigures(bytes)
  return figures === undefined ? undefined : { kind: 'short', idChecksum: bytes.readUInt32LE(figuresBytes), figures }
}

function writeFigures (bytes: Buffer, messageType: number, { state, fresh, running, waiting, limit, slowness, failures, rateLimit, rateAllowance }: Figures): void {
  bytes.writeUInt8(messageType, 0)
  bytes.writeUInt8(states.indexOf(state) | (fresh ? freshBit : 0), 1)
  bytes.writeUInt16LE(clampToUint16(running), 2)
  bytes.writeUInt16LE(clampToUint16(waiting), 4)
  bytes.writeUInt16LE(clampToUint16(limit), 6)
  // Tenths are precise enough for choosing a target, and one byte holds a slowness of up to 25.
  bytes.writeUInt8(Math.min(255, Math.round(slowness * 10)), 8)
  bytes.writeUInt8(Math.min(255, Math.round(failures * 255)), 9)
  // The largest values stand for a target without a limit.
  bytes.writeUInt16LE(clampToUint16(rateLimit * 10), 10)
  bytes.writeInt16LE(Math.max(-maxInt16, Math.min(maxInt16, Math.floor(rateAllowance * 10))), 12)
}

function readFigures (bytes: Buffer): Figures | undefined {
  const flags = bytes.readUInt8(1)
  const state = states[flags & 3]
  if (state === undefined) return undefined
  const rateLimit = bytes.readUInt16LE(10)
  const rateAllowance = bytes.readInt16LE(12)
  return {
    state,
    fresh: (flags & freshBit) !== 0,
    running: bytes.readUInt16LE(2),
    waiting: bytes.readUInt16LE(4),
    limit: bytes.readUInt16LE(6),
    slowness: bytes.readUInt8(8) / 10,
    failures: bytes.readUInt8(9) / 255,
    rateLimit: rateLimit === maxUint16 ? unlimited : rateLimit / 10,
    rateAllowance: rateAllowance === maxInt16 ? unlimited : rateAllowance / 10
  }
}

function readTextFields (bytes: Buffer): string[] | undefined {
  const fields: string[] = []
  let offset = fullReportHeaderBytes
  while (fields.length < 3) {
    if (offset >= bytes.length) return undefined
    const end = offset + 1 + bytes.readUInt8(offset)
    const field = end > bytes.length ? undefined : asText(bytes.toString('latin1', offset + 1, end))
    if (field === undefined) return undefined
    fields.push(field)
    offset = end
  }
  return fields
}

function clampToUint16 (value: number): number {
  return Math.max(0, Math.min(maxUint16, Math.round(value)))
}
