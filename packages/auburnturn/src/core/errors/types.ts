import type { errors } from './errors-data.js'

/** Definition of one kind of error. */
export interface ErrorDefinition {
  /** The tag of the error. */
  readonly name: string
  readonly title: string
  readonly message: (detail: string) => string
  readonly hint?: string
}

/** Tag of an error: a key of the catalogue. */
export type FaultName = keyof typeof errors
