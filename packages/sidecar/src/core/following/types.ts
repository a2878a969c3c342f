import type { Configuration } from '../configuration/index.js'
import type { ListedTarget } from '../targets/index.js'

/** Something that the store says. */
export type Change =
  | { readonly kind: 'configuration', readonly configuration: Configuration }
  | { readonly kind: 'target', readonly target: ListedTarget }
  | { readonly kind: 'gone', readonly id: string }
  /** An entry that can't be used; whatever it named before is not named any more. */
  | { readonly kind: 'unusable', readonly key: string, readonly id: string | undefined }

/** What the store answered. */
export type StoreAnswer =
  | { readonly kind: 'changes', readonly changes: readonly Change[], readonly revision: number }
  /** The history that was asked for is gone. */
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'failed', readonly cause: string }

/** Reads the store. */
export interface StoreClient {
  /** All that it holds; a cheap answer may be seconds old. */
  list (how: 'cheap' | 'newest'): Promise<StoreAnswer>
  /** What changed behind a revision; answers at the first change, or after `waitMs` without one. */
  watch (revision: number, waitMs: number): Promise<StoreAnswer>
  /** The newest configuration; undefined when it did not come. */
  readConfiguration (): Promise<Configuration | undefined>
}

/** What one node can give another. */
export interface SharedState {
  readonly configuration: Configuration
  readonly targets: readonly ListedTarget[]
  /** Revision of the store up to which the targets are known; undefined before the first list. */
  readonly revision: number | undefined
}
