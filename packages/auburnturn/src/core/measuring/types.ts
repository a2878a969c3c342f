import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Profile } from '../settings/index.js'

/** Limits on measuring: messages and bytes per second, and share of a core. */
export type MeasuringLimits = Profile['measuring']

/** Messages sent for measuring since the process started. */
export interface MeasuringCost {
  readonly messages: number
  readonly bytes: number
  /** Processor time charged, in milliseconds. */
  readonly coreMs: number
  /** Messages that were not sent because the budget was spent. */
  readonly denied: number
}

/** What a probed target reported. */
export interface ProbeReport {
  readonly load: Load
  readonly incarnation: string
}

/** Requests the load of one target; undefined when it gives no valid response. */
export type Probe = (member: Member, service: string, signal: AbortSignal) => Promise<ProbeReport | undefined>
