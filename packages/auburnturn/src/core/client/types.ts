import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Random } from '../random/index.js'
import type { MayHaveRunCause, NotRunCause } from '../verdict/index.js'

/** What a client is made of; only the platform and the caller's name have no default. */
export interface ClientOptions {
  /** Entrances to the platform. Each client holds two watches there. */
  readonly platform: ReadonlyArray<{ readonly ip: string, readonly port: number }>
  /** The service that calls; targets share their slots fairly among callers. */
  readonly caller: string
  /** Connections to the node of one target. */
  readonly connections?: number
  readonly clock?: Clock
  readonly logger?: Logger
  readonly random?: Random
}

/** One request to a service. */
export interface ClientRequest {
  readonly service: string
  /** Path and query, starting with `/`. */
  readonly path: string
  /** GET unless given. */
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
  /** Milliseconds for the whole call; never longer than the profile's `callMs`. */
  readonly timeoutMs?: number
  /** The caller's own word on whether the request may repeat. */
  readonly idempotent?: boolean
  /** Names the one target and incarnation that may run the request. */
  readonly ticket?: string
  /** Position in a chain of calls, 1 for the first. */
  readonly depth?: number
  /** Gives the call up. */
  readonly signal?: AbortSignal
}

/** What became of a request. An answer is there only when it is whole. */
export type CallResult =
  | { readonly verdict: 'done', readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: Uint8Array }
  /** It did not run; it is safe to send it again. */
  | { readonly verdict: 'not-run', readonly cause: NotRunCause }
  /** It may have run; repeat it only if it is idempotent or has a ticket. */
  | { readonly verdict: 'may-have-run', readonly cause: MayHaveRunCause }
