import type { DocumentProblem } from '../settings/index.js'

/** A text and the version under which it was published. */
export interface Edition {
  readonly version: number
  readonly text: string
}

/** One configuration value published by the platform. */
export interface Entry {
  /** `profile/NAME`, `service/NAME` or `member/ID`. */
  readonly key: string
  /** Increases with every publication of any entry, not only of this one. */
  readonly version: number
  /** JSON with comments; `undefined` if the entry was removed. */
  readonly text: string | undefined
  /** The newest valid edition, if the current one is invalid or removed. */
  readonly good?: Edition | undefined
}

/** Where an entry was received from. */
export type EntrySource = 'platform' | 'peer'

/** Result of offering an entry. `conflict`: the same version was received with two texts, and the stored text wins. */
export type AcceptResult = 'accepted' | 'known' | 'older' | 'rejected' | 'conflict'

/** An entry that was rejected as a whole, with the reasons. */
export interface RejectedEntry {
  readonly key: string
  readonly version: number
  readonly source: EntrySource
  readonly problems: readonly DocumentProblem[]
}

/** When the stored entries were last confirmed to be the platform's newest, and by which source. */
export interface Confirmation {
  readonly source: EntrySource
  /** Clock time in milliseconds. */
  readonly confirmedAt: number
}

/** A set of versioned entries that the relay synchronizes between nodes. */
export interface Replica {
  /** Whether entries with this key belong to this replica. */
  owns (key: string): boolean
  get (key: string): Entry | undefined
  /** Offers an entry that was received from `source`. */
  accept (entry: Entry, source: EntrySource): AcceptResult
}
