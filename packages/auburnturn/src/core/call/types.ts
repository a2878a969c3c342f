import type { CancelSignal } from '../clock/index.js'
import type { Member } from '../membership/types.js'
import type { Profile } from '../settings/index.js'
import type { Verdict } from '../verdict/index.js'

/** Header names and values alternating, as they arrived. */
export type RawHeaders = readonly string[]

/** A call with everything that routing and admission need. It is created once, when the request head has arrived. */
export interface Call {
  readonly id: string
  readonly service: string
  readonly method: string
  /** Path and query as sent to the upstream. */
  readonly path: string
  /** End-to-end headers as the caller sent them, without those that begin with `headerPrefix`. */
  readonly headers: RawHeaders
  /** The profile that was active when the call arrived. It applies until the call ends. */
  readonly profile: Profile
  readonly idempotent: boolean
  /** Clock time in milliseconds after which the caller no longer waits for the answer. */
  readonly deadline: number
  /** Number of attempts already made by the layers above; 0 for a new call. */
  readonly attempt: number
  /** Position in a chain of calls; 1 for the first. */
  readonly depth: number
  /** The caller, for fair sharing of capacity: a service name or an address. */
  readonly caller: string
  /** Whether the call was forwarded by another node. */
  readonly forwarded: boolean
  readonly ticket?: string
  /** Whether the node that forwarded the ticketed call will use the successor of a refused ticket. */
  readonly successorWanted?: boolean
  /** The targets tried so far, each with its verdict and cause unless done; set only when the caller requested them. */
  readonly triedTargets?: string[]
  /** Aborted when the caller disconnects. */
  readonly signal: CancelSignal
}

/** Why the request body of a caller could not be read completely. */
export type BodyFault = 'caller-gone' | 'caller-idle' | 'body-too-large' | 'bad-request'

/** A request body. It can be read again only while all bytes read so far are buffered. */
export interface Body {
  /** The complete body, once it is buffered in one piece. It may be used instead of `read`. */
  readonly bufferedBytes?: Uint8Array | undefined
  /** Set when the body could not be read completely from the caller. */
  readonly fault?: BodyFault | undefined
  /** False once bytes were read that are no longer buffered. */
  readonly replayable: boolean
  /** True when the request has no body. */
  readonly empty: boolean
  /** Reads the body from the first byte and ends any earlier read. Throws when the body is not replayable. */
  read (): AsyncIterable<Uint8Array>
}

/** Receives the answer to a call. No final response reaches the caller before `writeHead`. */
export interface Answer {
  /** True once `writeHead` was called. From then on no other attempt may answer. */
  readonly started: boolean
  writeInformational (status: number, headers: RawHeaders): void
  writeHead (status: number, reason: string, headers: RawHeaders): void
  /** Writes a part of the body. The promise resolves when more may be written; undefined when there is no need to wait. */
  writeData (chunk: Uint8Array): Promise<void> | undefined
  end (trailers: RawHeaders): void
  /** Aborts the answer so that the caller can detect that it is incomplete. */
  cut (): void
}

/** Load of a target as reported by its own admission. */
export interface Load {
  readonly running: number
  readonly queued: number
  readonly limit: number
  readonly state: 'starting' | 'serving' | 'draining'
}

/** Outcome of one attempt. */
export interface Outcome {
  readonly verdict: Verdict
  /** HTTP status, if an answer head arrived. */
  readonly status?: number
  /** Load of the target that answered or refused. */
  readonly load?: Load
  /** Incarnation of the node that answered or refused. */
  readonly incarnation?: string
  /** The ticket that replaces the refused one. */
  readonly successor?: string
  /** The targets that were tried, in order and separated by commas; set only when the caller requested them. */
  readonly triedTargets?: string
  /** True when a lower layer has made all permitted retries: no layer above may retry the call. */
  readonly retriesExhausted?: boolean
}

/** Makes one attempt at a call on one member. */
export type Attempt = (call: Call, member: Member, body: Body, answer: Answer) => Promise<Outcome>
