import type { Entry } from '../configuration/types.js'

/** Entries changed since a revision, and the revision they lead to. */
export interface ConfigurationPage {
  readonly revision: number
  readonly entries: readonly Entry[]
}
