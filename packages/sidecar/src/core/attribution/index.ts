/** Decides whose an answer or a message is, for each channel of a node. */
export { DatagramOrder, DatagramStamps, readStamp, stampBytes } from './datagram.js'
export type { DatagramStamp } from './datagram.js'
