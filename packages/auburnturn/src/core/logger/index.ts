/** Structured logging through roarr: one line of key=value pairs per event. */
export { Logger } from './logger.js'
export type { LogFields, LogLevel, LogValue } from './types.js'
