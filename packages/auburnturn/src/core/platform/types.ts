import type { Entry } from '../configuration/types.js'
import type { MemberList } from '../membership/types.js'

/** Entries changed since a revision, and the revision they lead to. */
export interface ConfigurationPage {
  readonly revision: number
  readonly entries: readonly Entry[]
}

/** Lists of services that changed since a revision, and the revision they lead to. */
export interface MemberPage {
  readonly revision: number
  readonly lists: readonly MemberList[]
}
