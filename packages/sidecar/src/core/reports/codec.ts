import type { TargetReport, TargetState } from '../targets/index.js'

/** A report as it travels, with the version of the configuration that its sender has in force. */
export interface Report {
  readonly target: TargetReport
  readonly configurationVersion: number
}

/** First byte of each datagram: the layout below. */
const layout = 1
const fixedBytes = 17
const states: readonly TargetState[] = ['up', 'down', 'closing']
const freshBit = 4
const maxUint16 = 0xffff

/** Packs a report: fixed figures, then id, service and failure domain, each with its length in front. */
export function encodeReport ({ target, configurationVersion }: Report): Buffer {
  const texts = [target.id, target.service, target.zone].map(text => Buffer.from(text.slice(0, 255), 'latin1'))
  const bytes = Buffer.alloc(fixedBytes + texts.reduce((sum, text) => sum + 1 + text.length, 0))
  bytes.writeUInt8(layout, 0)
  bytes.writeUInt8(states.indexOf(target.state) | (target.fresh ? freshBit : 0), 1)
  bytes.writeUInt16LE(clamp(target.running), 2)
  bytes.writeUInt16LE(clamp(target.waiting), 4)
  bytes.writeUInt16LE(clamp(target.limit), 6)
  bytes.writeUInt16LE(clamp(target.slowness * 100), 8)
  bytes.writeUInt8(Math.min(255, Math.round(target.failures * 255)), 10)
  bytes.writeUIntLE(configurationVersion, 11, 6)
  let at = fixedBytes
  for (const text of texts) {
    bytes.writeUInt8(text.length, at)
    text.copy(bytes, at + 1)
    at += 1 + text.length
  }
  return bytes
}

/** Undefined for anything that is not a whole report. */
export function decodeReport (bytes: Buffer): Report | undefined {
  if (bytes.length < fixedBytes || bytes.readUInt8(0) !== layout) return undefined
  const flags = bytes.readUInt8(1)
  const state = states[flags & 3]
  const texts = readTexts(bytes)
  if (state === undefined || texts === undefined) return undefined
  const [id, service, zone] = texts as [string, string, string]
  return {
    configurationVersion: bytes.readUIntLE(11, 6),
    target: {
      id,
      service,
      zone,
      state,
      fresh: (flags & freshBit) !== 0,
      running: bytes.readUInt16LE(2),
      waiting: bytes.readUInt16LE(4),
      limit: bytes.readUInt16LE(6),
      slowness: bytes.readUInt16LE(8) / 100,
      failures: bytes.readUInt8(10) / 255
    }
  }
}

function readTexts (bytes: Buffer): string[] | undefined {
  const texts: string[] = []
  let at = fixedBytes
  while (texts.length < 3) {
    if (at >= bytes.length) return undefined
    const end = at + 1 + bytes.readUInt8(at)
    if (end > bytes.length) return undefined
    texts.push(bytes.toString('latin1', at + 1, end))
    at = end
  }
  return texts
}

function clamp (value: number): number {
  return Math.max(0, Math.min(maxUint16, Math.round(value)))
}
