/** Receives and holds message bodies within the memory and the processor time that the process has for them. */
export { BodyMemory } from './body-memory.js'
export type { HeldBody } from './body-memory.js'
export { RequestBodies } from './request-bodies.js'
export { BodyReceiver } from './body-receiver.js'
export { messageBufferBytes, readBytes } from './constants.js'
export type { BodyLimits, BodyResult } from './types.js'
