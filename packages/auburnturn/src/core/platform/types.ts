import type { Entry } from '../configuration/types.js'
import type { MemberList } from '../membership/types.js'

/** The entries that changed since a revision, and the revision after these changes. */
export interface ConfigurationPage {
  readonly revision: number
  readonly entries: readonly Entry[]
}

/** The member lists that changed since a revision, and the revision after these changes. */
export interface MemberPage {
  readonly revision: number
  readonly lists: readonly MemberList[]
}
