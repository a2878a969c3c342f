/** How each node tells the others of the target beside it. */
export { decodeReport, encodeReport, encodeShortReport, sumId } from './codec.js'
export type { Report, ShortReport } from './codec.js'
export { Datagrams } from './datagrams.js'
export type { Message } from './messages.js'
export { Reporter } from './reporter.js'
export type { Receivers } from './reporter.js'
