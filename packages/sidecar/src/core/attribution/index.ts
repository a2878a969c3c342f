/** Decides whose an answer or a message is, for each channel of a node. */
export { DatagramOrder, DatagramStamps, readStamp, stampBytes } from './datagram.js'
export { attributeAnswer, CallNumbers, markAnswer, numberCall, readCall } from './frame.js'
export type { DatagramStamp } from './datagram.js'
export type { CallMark } from './frame.js'
