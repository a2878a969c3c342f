/** Reports of each node about the target on its VM, sent to other nodes as datagrams. */
export { SubscriberList } from './subscriber-list.js'
export { computeIdChecksum, decodeReport, encodeReport, encodeShortReport, encodeSubscription } from './codec.js'
export type { Report, ShortReport } from './codec.js'
export { DatagramTransport } from './datagram-transport.js'
export type { Message } from './messages.js'
export { Reporter } from './reporter.js'
export { Subscriber } from './subscriber.js'
export type { Subscribers } from './reporter.js'
