import { deflateRawSync } from 'node:zlib'
import { asDurationMs, asInteger, asJsonObject, asText, inflateJson } from '../decoding/index.js'
import { maxSuspectsPerCrash } from './constants.js'
import type { CrashDigest, CrashNotice, Suspect } from './types.js'

/**
 * Message type in the first byte of each datagram. Other values are reports and notices of store readers, see `reports/codec.ts` and
 * `readers/codec.ts`.
 */
const messageTypes = { crash: 6, digest: 7 } as const

const digestBytes = 6

/** Maximum decompressed size of a notice, in bytes. */
const maxInflatedBytes = 16 * 1024

const fingerprintPattern = /^[0-9a-f]{16}$/
const aloneFlag = 1
const clearedFlag = 2

/** Encodes a crash as compressed JSON. */
export function encodeCrashNotice ({ target, number, node, ageMs, suspects }: CrashNotice): Buffer {
  const list = suspects.slice(0, maxSuspectsPerCrash).map(({ fingerprint, alone, cleared }) => [fingerprint, (alone ? aloneFlag : 0) | (cleared ? clearedFlag : 0)])
  return Buffer.concat([Buffer.from([messageTypes.crash]), deflateRawSync(JSON.stringify({ target, number, node, ageMs: Math.round(ageMs), suspects: list }))])
}

/** Decodes a crash; undefined for any other, incomplete or damaged datagram. */
export function decodeCrashNotice (bytes: Buffer): CrashNotice | undefined {
  if (bytes[0] !== messageTypes.crash) return undefined
  const fields = asJsonObject(inflateJson(bytes.subarray(1), maxInflatedBytes))
  const target = asText(fields?.['target'])
  const number = asInteger(fields?.['number'])
  const node = asText(fields?.['node'])
  const ageMs = asDurationMs(fields?.['ageMs'])
  const list = fields?.['suspects']
  if (target === undefined || target === '' || number === undefined || node === undefined || ageMs === undefined || !Array.isArray(list) || list.length > maxSuspectsPerCrash) return undefined
  const suspects = list.map(decodeSuspect)
  return suspects.every(suspect => suspect !== undefined) ? { kind: 'crash', target, number, node, ageMs, suspects } : undefined
}

/** Encodes a digest: type, whether it is an answer (1 byte each), checksum (4 bytes). */
export function encodeCrashDigest ({ checksum, isAnswer }: CrashDigest): Buffer {
  const bytes = Buffer.alloc(digestBytes)
  bytes.writeUInt8(messageTypes.digest, 0)
  bytes.writeUInt8(isAnswer ? 1 : 0, 1)
  bytes.writeUInt32LE(checksum, 2)
  return bytes
}

/** Decodes a digest; undefined for any other or incomplete datagram. */
export function decodeCrashDigest (bytes: Buffer): CrashDigest | undefined {
  if (bytes[0] !== messageTypes.digest || bytes.length !== digestBytes) return undefined
  return { kind: 'crash-digest', isAnswer: bytes[1] === 1, checksum: bytes.readUInt32LE(2) }
}

function decodeSuspect (value: unknown): Suspect | undefined {
  if (!Array.isArray(value)) return undefined
  const [fingerprint, flags] = value as unknown[]
  if (typeof fingerprint !== 'string' || !fingerprintPattern.test(fingerprint) || typeof flags !== 'number') return undefined
  return { fingerprint, alone: (flags & aloneFlag) !== 0, cleared: (flags & clearedFlag) !== 0 }
}
