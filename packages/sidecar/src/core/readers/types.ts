import type { Change, StorePosition } from '../store/index.js'

/** Whether a node is a reader of the store, and whether the store answers it. */
export type ReaderState =
  | 'trying' // no call to the store has ended yet
  | 'reading' // the store answers
  | 'failing' // the last call failed
  | 'stopped' // not a reader

/**
 * Notice that a reader sends to all nodes periodically and on each change of its state. Its position is that up to which the reader
 * has announced changes.
 */
export interface ReaderNotice extends StorePosition {
  readonly kind: 'reader'
  readonly state: ReaderState
  readonly failureDomain: string
  /** Version of the reader's active configuration. */
  readonly configurationVersion: number
}

/** All changes to the list of targets after revision `from` of an era of the store, up to and including `to`. */
export interface ChangesNotice {
  readonly kind: 'changes'
  readonly era: number
  readonly from: number
  readonly to: number
  readonly changes: readonly Change[]
}
