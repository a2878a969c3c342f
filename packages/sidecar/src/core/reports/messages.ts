import { decodeCrashDigest, decodeCrashNotice } from '../quarantine/index.js'
import type { CrashDigest, CrashNotice } from '../quarantine/index.js'
import { decodeChangesNotice, decodeReaderNotice } from '../readers/index.js'
import type { ChangesNotice, ReaderNotice } from '../readers/index.js'
import { decodeReport } from './codec.js'
import type { Report, ShortReport, Subscription } from './codec.js'

/** A message that one node sends to another in a datagram. */
export type Message = Report | ShortReport | Subscription | ReaderNotice | ChangesNotice | CrashNotice | CrashDigest

/** Decodes a datagram. Returns undefined for anything that is not a complete message. */
export function decodeMessage (bytes: Buffer): Message | undefined {
  return decodeReport(bytes) ?? decodeReaderNotice(bytes) ?? decodeChangesNotice(bytes) ?? decodeCrashNotice(bytes) ?? decodeCrashDigest(bytes)
}
