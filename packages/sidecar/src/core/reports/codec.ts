import { crc32 } from 'node:zlib'
import type { TargetReport, TargetState } from '../targets/index.js'

/** All that a node tells of its target, with the version of the configuration that it has in force. */
export interface Report {
  readonly kind: 'full'
  readonly target: TargetReport
  readonly configurationVersion: number
}

/** What changes many times a second, of a target whose full report came before. */
export type Figures = Pick<TargetReport, 'state' | 'fresh' | 'running' | 'waiting' | 'limit' | 'slowness' | 'failures'>

/** Figures only; bytes between failure domains are dear. */
export interface ShortReport {
  readonly kind: 'short'
  /** Checksum of the target's id. */
  readonly idSum: number
  readonly figures: Figures
}

/** A node wants the reports of the one that it sends this to. */
export interface Subscription {
  readonly kind: 'subscription'
}

/** First byte of each datagram. */
const messageTypes = { full: 1, short: 2, subscription: 3 } as const
const figuresBytes = 10
const shortReportBytes = figuresBytes + 4
const fullReportHeaderBytes = figuresBytes + 6
const states: readonly TargetState[] = ['up', 'down', 'closing']
const freshBit = 4
const maxUint16 = 0xffff

/** Packs a report: figures, version, then id, service and failure domain, each with its length in front. */
export function encodeReport ({ target, configurationVersion }: Report): Buffer {
  const texts = [target.id, target.service, target.failureDomain].map(text => Buffer.from(text.slice(0, 255), 'latin1'))
  const bytes = Buffer.alloc(fullReportHeaderBytes + texts.reduce((sum, text) => sum + 1 + text.length, 0))
  writeFigures(bytes, messageTypes.full, target)
  bytes.writeUIntLE(configurationVersion, figuresBytes, 6)
  let at = fullReportHeaderBytes
  for (const text of texts) {
    bytes.writeUInt8(text.length, at)
    text.copy(bytes, at + 1)
    at += 1 + text.length
  }
  return bytes
}

/** Packs the figures of a target. */
export function encodeShortReport (target: TargetReport): Buffer {
  const bytes = Buffer.alloc(shortReportBytes)
  writeFigures(bytes, messageTypes.short, target)
  bytes.writeUInt32LE(checksumId(target.id), figuresBytes)
  return bytes
}

export function encodeSubscription (): Buffer {
  return Buffer.from([messageTypes.subscription])
}

/** Undefined for anything that is not a whole report, or the wish for some. */
export function decodeReport (bytes: Buffer): Report | ShortReport | Subscription | undefined {
  switch (bytes[0]) {
    case messageTypes.subscription: return { kind: 'subscription' }
    case messageTypes.full: return decodeFullReport(bytes)
    case messageTypes.short: return decodeShortReport(bytes)
    default: return undefined
  }
}

/** What a short report carries of a target's id. */
export function checksumId (id: string): number {
  return crc32(id)
}

function decodeFullReport (bytes: Buffer): Report | undefined {
  if (bytes.length < fullReportHeaderBytes) return undefined
  const figures = readFigures(bytes)
  const texts = readTexts(bytes)
  if (figures === undefined || texts === undefined) return undefined
  const [id, service, failureDomain] = texts as [string, string, string]
  return { kind: 'full', configurationVersion: bytes.readUIntLE(figuresBytes, 6), target: { id, service, failureDomain, ...figures } }
}

function decodeShortReport (bytes: Buffer): ShortReport | undefined {
  if (bytes.length !== shortReportBytes) return undefined
  const figures = readFigures(bytes)
  return figures === undefined ? undefined : { kind: 'short', idSum: bytes.readUInt32LE(figuresBytes), figures }
}

function writeFigures (bytes: Buffer, layout: number, { state, fresh, running, waiting, limit, slowness, failures }: Figures): void {
  bytes.writeUInt8(layout, 0)
  bytes.writeUInt8(states.indexOf(state) | (fresh ? freshBit : 0), 1)
  bytes.writeUInt16LE(clampToUint16(running), 2)
  bytes.writeUInt16LE(clampToUint16(waiting), 4)
  bytes.writeUInt16LE(clampToUint16(limit), 6)
  // Tenths are enough to choose by, and leave room for a slowness of 25.
  bytes.writeUInt8(Math.min(255, Math.round(slowness * 10)), 8)
  bytes.writeUInt8(Math.min(255, Math.round(failures * 255)), 9)
}

function readFigures (bytes: Buffer): Figures | undefined {
  const flags = bytes.readUInt8(1)
  const state = states[flags & 3]
  if (state === undefined) return undefined
  return {
    state,
    fresh: (flags & freshBit) !== 0,
    running: bytes.readUInt16LE(2),
    waiting: bytes.readUInt16LE(4),
    limit: bytes.readUInt16LE(6),
    slowness: bytes.readUInt8(8) / 10,
    failures: bytes.readUInt8(9) / 255
  }
}

function readTexts (bytes: Buffer): string[] | undefined {
  const texts: string[] = []
  let at = fullReportHeaderBytes
  while (texts.length < 3) {
    if (at >= bytes.length) return undefined
    const end = at + 1 + bytes.readUInt8(at)
    if (end > bytes.length) return undefined
    texts.push(bytes.toString('latin1', at + 1, end))
    at = end
  }
  return texts
}

function clampToUint16 (value: number): number {
  return Math.max(0, Math.min(maxUint16, Math.round(value)))
}
