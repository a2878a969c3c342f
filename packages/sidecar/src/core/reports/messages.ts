import { decodeChangesNotice, decodeReaderNotice } from '../readers/index.js'
import type { ChangesNotice, ReaderNotice } from '../readers/index.js'
import { decodeReport } from './codec.js'
import type { Report, ShortReport, Subscription } from './codec.js'

/** Everything that nodes tell each other in datagrams. */
export type Message = Report | ShortReport | Subscription | ReaderNotice | ChangesNotice

/** Undefined for anything that is not a whole message. */
export function decodeMessage (bytes: Buffer): Message | undefined {
  return decodeReport(bytes) ?? decodeReaderNotice(bytes) ?? decodeChangesNotice(bytes)
}
