/** How each node tells the others of the target beside it. */
export { SubscriberList } from './subscriber-list.js'
export { decodeReport, encodeReport, encodeShortReport, encodeSubscription, checksumId } from './codec.js'
export type { Report, ShortReport } from './codec.js'
export { DatagramTransport } from './datagram-transport.js'
export type { Message } from './messages.js'
export { Reporter } from './reporter.js'
export { Subscriber } from './subscriber.js'
export type { Receivers } from './reporter.js'
