import type { errors } from './errors-data.js'

/** One entry of the catalogue. */
export interface ErrorDefinition {
  readonly name: string
  readonly title: string
  readonly message: (detail: string) => string
  readonly hint?: string
}

/** The tag of a fault: a key of the catalogue. */
export type FaultName = keyof typeof errors
