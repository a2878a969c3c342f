/** Structured logs: one line of key=value pairs per event, written through roarr. */
export { Logger } from './logger.js'
export type { LogValue, LogFields, LogLevel } from './types.js'
