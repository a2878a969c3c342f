/** One named value of the platform's configuration service. */
export interface Entry {
  /** `profile/NAME` or `service/NAME`. */
  readonly key: string
  /** Grows with every publication of any entry. */
  readonly version: number
  /** JSON with comments; undefined when the entry was removed. */
  readonly text: string | undefined
}

/** From whom an entry was learned. */
export type EntrySource = 'platform' | 'peer'

/** What became of an offered entry. */
export type Acceptance = 'accepted' | 'known' | 'older' | 'rejected'
