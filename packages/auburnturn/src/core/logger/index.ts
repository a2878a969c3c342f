/** Structured logging through roarr: one line of key=value pairs per event. */
export { Logger } from './logger.js'
export type { LogValue, LogFields, LogLevel } from './types.js'
