import type { Configuration } from '../configuration/index.js'
import type { StorePosition } from '../store/index.js'
import type { ListedTarget } from '../targets/index.js'

/** State that one node sends to another on request. */
export interface SharedState {
  readonly configuration: Configuration
  readonly targets: readonly ListedTarget[]
  /** Position in the store up to which the targets are known; undefined before the first list. */
  readonly position: StorePosition | undefined
}
