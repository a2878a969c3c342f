/** Severity, lowest first: debug, info, warn, error. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Value of a field. */
export type LogValue = string | number | boolean | undefined

/** Fields of an event; undefined fields are omitted. */
export interface LogFields { readonly [key: string]: LogValue }
