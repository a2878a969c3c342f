/** Decides whose an answer or a message is, for each channel of a node. */
export { CallNumbers } from './call-numbers.js'
export { DatagramOrder, DatagramStamps, readStamp, stampBytes } from './datagram.js'
export { attributeAnswer, markAnswer, numberCall, readCall } from './frame.js'
export { formatRead, formatReadAnswer, isReadAnswer, parseRead } from './state-answer.js'
export type { DatagramStamp } from './datagram.js'
export type { CallMark } from './frame.js'
export type { ReadMark } from './state-answer.js'
