import type { Entry } from '../configuration/types.js'
import type { MemberList } from '../membership/types.js'

/** The entries that changed since a revision, and the revision after these changes. */
export interface ConfigurationPage {
  readonly revision: number
  readonly entries: readonly Entry[]
  /** Number of entries that can't be used. */
  readonly leftOut: number
}

/** The member lists that changed since a revision, and the revision after these changes. */
export interface MemberPage {
  readonly revision: number
  readonly lists: readonly ListedMembers[]
  /** Number of lists that can't be used. */
  readonly leftOut: number
}

/** A member list without the members that can't be used, and their number. */
export interface ListedMembers extends MemberList {
  readonly leftOut: number
}
