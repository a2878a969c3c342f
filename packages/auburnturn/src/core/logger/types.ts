/** Severity, lowest first: debug, info, warn, error. */
export type Level = 'debug' | 'info' | 'warn' | 'error'

export type Field = string | number | boolean | undefined

/** What is known about an event; undefined fields are left out. */
export interface Fields { readonly [key: string]: Field }
