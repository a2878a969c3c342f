import type { CancelSignal } from 'auburnturn/core/clock'
import type { Configuration } from '../configuration/index.js'
import type { ListedTarget } from '../targets/index.js'

/** An entry of the store, or a change to one. */
export type Change =
  | { readonly kind: 'configuration', readonly configuration: Configuration }
  | { readonly kind: 'target', readonly target: ListedTarget }
  | { readonly kind: 'gone', readonly id: string }
  /** An entry that can't be used; the target `id` that it listed before, if any, is no longer listed. */
  | { readonly kind: 'unusable', readonly key: string, readonly id: string | undefined }

/**
 * A moment in the histories of the store. When it comes back from a copy a new era begins, which gives out again the revisions after
 * that of the copy: revisions of different eras can't be compared.
 */
export interface StorePosition {
  /** Rises with each return from a copy; 0 if the store names none. */
  readonly era: number
  readonly revision: number
}

/** Answer of the store to a list or a watch. */
export type StoreAnswer =
  | StorePosition & { readonly kind: 'changes', readonly changes: readonly Change[] }
  /** The store, now in this era, does not have the history after the requested position. */
  | { readonly kind: 'forgotten', readonly era: number }
  | { readonly kind: 'failed', readonly cause: string }

/** Client of the store, read only. */
export interface StoreClient {
  /** Lists the full content; a 'cheap' list may be seconds old. */
  list (mode: 'cheap' | 'newest'): Promise<StoreAnswer>
  /**
   * Watches for changes after a position; answers at the first change, or after `waitMs` milliseconds without one. Fails once
   * `signal` aborts.
   */
  watch (after: StorePosition, waitMs: number, signal: CancelSignal): Promise<StoreAnswer>
  /** Returns whether the store answers an inexpensive call. */
  check (): Promise<boolean>
  /** Reads the newest configuration; undefined if the call failed. */
  readConfiguration (): Promise<Configuration | undefined>
}
