import type { Attempt } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory } from '../membership/index.js'
import type { Quarantine } from '../quarantine/index.js'
import type { Random } from '../random/index.js'
import type { Policy } from '../routing/index.js'
import type { Target } from '../target/index.js'

/** Dependencies of a router. `local` is absent where a service embeds the router. */
export interface RouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  /** Attempts a call at a member on another node. */
  readonly remote: Attempt
  /** The target of this node. */
  readonly local?: { readonly id: string, readonly service: string, readonly target: Target }
  readonly policy?: Policy
  /** Identifies requests that are suspected of crashing their target; these are sent once, to one target. */
  readonly quarantine?: Quarantine
}
