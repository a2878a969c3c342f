import type { Change } from '../following/types.js'

/** How a reader fares. */
export type ReaderState =
  | 'trying' // none of its calls has ended yet
  | 'reading' // its calls are answered
  | 'failing'
  | 'stopped' // it has left the reading to others

/** What a reader tells all nodes now and then. */
export interface ReaderNotice {
  readonly kind: 'reader'
  readonly state: ReaderState
  readonly failureDomain: string
  /** Revision of the store up to which it has told of changes. */
  readonly revision: number
  /** Version of the configuration that it has in force. */
  readonly configurationVersion: number
}

/** All changes of the list of targets behind one revision of the store, up to another one. */
export interface ChangesNotice {
  readonly kind: 'changes'
  readonly from: number
  readonly to: number
  readonly changes: readonly Change[]
}
