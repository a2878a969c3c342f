import type { DocumentProblem } from '../settings/index.js'

/** A text with the version that published it. */
export interface Edition {
  readonly version: number
  readonly text: string
}

/** One named value that the platform publishes. */
export interface Entry {
  /** `profile/NAME`, `service/NAME` or `member/ID`. */
  readonly key: string
  /** Grows with every publication of any entry. */
  readonly version: number
  /** JSON with comments; undefined when the entry was removed. */
  readonly text: string | undefined
  /** The newest valid edition, when this one is invalid or removed. */
  readonly good?: Edition | undefined
}

/** From whom an entry was learned. */
export type EntrySource = 'platform' | 'peer'

/** What became of an offered entry. `conflict`: the same version came with two texts, and the other one stays. */
export type AcceptResult = 'accepted' | 'known' | 'older' | 'rejected' | 'conflict'

/** An entry that was refused whole, with the reasons. */
export interface RejectedEntry {
  readonly key: string
  readonly version: number
  readonly source: EntrySource
  readonly problems: readonly DocumentProblem[]
}

/** When and by whom the state in force was last confirmed as the platform's newest. */
export interface Confirmation {
  readonly source: EntrySource
  /** Clock time in milliseconds. */
  readonly confirmedAt: number
}

/** A set of versioned entries that the relay keeps equal between nodes. */
export interface Replica {
  /** Whether entries with this key belong here. */
  owns (key: string): boolean
  get (key: string): Entry | undefined
  accept (entry: Entry, source: EntrySource): AcceptResult
}
