/** Reports of each node about its own target, sent to other nodes as datagrams. */
export { SubscriberList } from './subscriber-list.js'
export { checksumId, decodeReport, encodeReport, encodeShortReport, encodeSubscription } from './codec.js'
export type { Report, ShortReport } from './codec.js'
export { DatagramTransport } from './datagram-transport.js'
export type { Message } from './messages.js'
export { Reporter } from './reporter.js'
export { Subscriber } from './subscriber.js'
export type { Receivers } from './reporter.js'
