import type { Change } from '../following/types.js'

/** How a reader fares: its calls are answered; they fail, or none was answered yet; or it has left the reading to others. */
export type ReaderState = 'reading' | 'failing' | 'stopped'

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
