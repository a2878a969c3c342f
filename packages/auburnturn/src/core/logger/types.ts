/** Severity, lowest first: debug, info, warn, error. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

export type LogValue = string | number | boolean | undefined

/** What is known about an event; undefined fields are left out. */
export interface LogFields { readonly [key: string]: LogValue }
