/** How each node tells the others of the target beside it. */
export { Audience } from './audience.js'
export { decodeReport, encodeReport, encodeShortReport, encodeSubscription, sumId } from './codec.js'
export type { Report, ShortReport } from './codec.js'
export { Datagrams } from './datagrams.js'
export type { Message } from './messages.js'
export { Reporter } from './reporter.js'
export { Subscriber } from './subscriber.js'
export type { Receivers } from './reporter.js'
