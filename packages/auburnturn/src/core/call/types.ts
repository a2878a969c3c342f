import type { CancelSignal } from '../clock/index.js'
import type { Member } from '../membership/types.js'
import type { Profile } from '../settings/index.js'
import type { Verdict } from '../verdict/index.js'

/** Header names and values alternating, as they came. */
export type RawHeaders = readonly string[]

/** A call with all that decisions need; made once, when its head has arrived. */
export interface Call {
  readonly id: string
  readonly service: string
  readonly method: string
  /** Path and query as sent to the upstream. */
  readonly path: string
  /** End-to-end headers as the caller sent them; none of them begins with `headerPrefix`. */
  readonly headers: RawHeaders
  /** The configuration in force when the call arrived; it stays the same to the call's end. */
  readonly profile: Profile
  readonly idempotent: boolean
  /** Clock time in milliseconds after which nobody waits for the answer. */
  readonly deadline: number
  /** Attempts already made by layers above, 0 for a fresh call. */
  readonly attempt: number
  /** Position in a chain of calls, 1 for the first. */
  readonly depth: number
  /** Who calls, for fair shares: a service name or an address. */
  readonly caller: string
  /** Whether another node already passed this call on. */
  readonly forwarded: boolean
  readonly ticket?: string
  /** Another node passed the ticketed call on and will follow the successor of a refused ticket. */
  readonly successorWanted?: boolean
  /** The targets tried so far with what became of each, when the caller asked for them. */
  readonly triedTargets?: string[]
  /** Aborted when the caller is gone. */
  readonly signal: CancelSignal
}

/** Why a caller's request body can't be read to its end. */
export type BodyFault = 'caller-gone' | 'caller-idle' | 'body-too-large' | 'bad-request'

/** The request body; it can be read again only while all of it is retained. */
export interface Body {
  /** All bytes, once they are held in one piece; `read` need not be used then. */
  readonly bufferedBytes?: Uint8Array | undefined
  /** Set when reading failed on the caller's side. */
  readonly fault?: BodyFault | undefined
  /** False once bytes were read that are no longer held. */
  readonly replayable: boolean
  /** True when the request has no body. */
  readonly empty: boolean
  /** A fresh reading from the first byte, which ends any earlier one; throws when not replayable. */
  read (): AsyncIterable<Uint8Array>
}

/** Where an answer is written. Nothing reaches the caller before `head`. */
export interface Answer {
  /** Set by `head`; from then on no other attempt may answer. */
  readonly started: boolean
  writeInformational (status: number, headers: RawHeaders): void
  writeHead (status: number, reason: string, headers: RawHeaders): void
  /** Resolves when more may be written. */
  writeData (chunk: Uint8Array): Promise<void> | undefined
  end (trailers: RawHeaders): void
  /** Breaks the answer off so that the caller can't take it for whole. */
  cut (): void
}

/** A target's load as its own admission sees it. */
export interface Load {
  readonly running: number
  readonly queued: number
  readonly limit: number
  readonly state: 'starting' | 'serving' | 'draining'
}

/** What became of one attempt. */
export interface Outcome {
  readonly verdict: Verdict
  /** HTTP status when an answer head arrived. */
  readonly status?: number
  /** Load of the target that answered or refused. */
  readonly load?: Load
  /** Incarnation of the node that answered or refused. */
  readonly incarnation?: string
  /** The ticket that replaces the refused one. */
  readonly successor?: string
  /** The targets that were tried, when the caller asked for them. */
  readonly triedTargets?: string
  /** True when a layer below has done what retrying it may: no layer above sends the call again. */
  readonly retriesExhausted?: boolean
}

/** Tries a call once at one member. */
export type Attempt = (call: Call, member: Member, body: Body, answer: Answer) => Promise<Outcome>
