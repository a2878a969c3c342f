import type { Attempt } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Directory } from '../membership/index.js'
import type { Quarantine } from '../quarantine/index.js'
import type { Random } from '../random/index.js'
import type { Policy } from '../routing/index.js'
import type { Target } from '../target/index.js'

/** What a router is made of. `local` is absent where a service embeds the router. */
export interface RouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly remote: Attempt
  readonly local?: { readonly id: string, readonly service: string, readonly target: Target }
  readonly policy?: Policy
  /** Tells which requests are suspect; these run once, at one target. */
  readonly quarantine?: Quarantine
}
