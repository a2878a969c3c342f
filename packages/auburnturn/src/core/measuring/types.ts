import type { Load } from '../call/types.js'
import type { Member } from '../membership/types.js'
import type { Profile } from '../settings/index.js'

/** What may be spent on measuring: messages and bytes a second, share of a core. */
export type MeasuringLimits = Profile['measuring']

/** What was sent to measure since the process started. */
export interface MeasuringCost {
  readonly messages: number
  readonly bytes: number
  /** Processor time charged, in milliseconds. */
  readonly coreMs: number
  /** Times that the budget had nothing left. */
  readonly denied: number
}

/** What a probed target told. */
export interface ProbeReport {
  readonly load: Load
  readonly incarnation: string
}

/** Asks one target for its load; undefined when it does not answer. */
export type Probe = (member: Member, service: string, signal: AbortSignal) => Promise<ProbeReport | undefined>
