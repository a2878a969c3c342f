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

/** Answer of the store to a list or a watch. */
export type StoreAnswer =
  | { readonly kind: 'changes', readonly changes: readonly Change[], readonly revision: number }
  /** The store no longer has the history after the requested revision. */
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'failed', readonly cause: string }

/** Client of the store, read only. */
export interface StoreClient {
  /** Lists the full content; a 'cheap' list may be seconds old. */
  list (mode: 'cheap' | 'newest'): Promise<StoreAnswer>
  /**
   * Watches for changes after a revision; answers at the first change, or after `waitMs` milliseconds without one. Fails once
   * `signal` aborts.
   */
  watch (revision: number, waitMs: number, signal: CancelSignal): Promise<StoreAnswer>
  /** Returns whether the store answers an inexpensive call. */
  check (): Promise<boolean>
  /** Reads the newest configuration; undefined if the call failed. */
  readConfiguration (): Promise<Configuration | undefined>
}
