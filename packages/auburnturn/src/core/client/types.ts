import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Random } from '../random/index.js'
import type { MayHaveRunCause, NotRunCause } from '../verdict/index.js'

/** Options of a client; only `platform` and `caller` are required. */
export interface ClientOptions {
  /** Addresses of the platform. Each client keeps two watches open there. */
  readonly platform: ReadonlyArray<{ readonly ip: string, readonly port: number }>
  /** Name of the calling service; targets share their slots fairly among callers. */
  readonly caller: string
  /** Maximum number of connections to the node of one target. */
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
  /** Defaults to GET. */
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
  /** Timeout of the whole call in milliseconds, limited to the profile's `callMs`, which is also the default. */
  readonly timeoutMs?: number
  /** Declares whether the request may be sent again after it may have run, like the header `auburnturn-idempotent`. */
  readonly idempotent?: boolean
  /** Ticket that restricts the request to one incarnation of one target. */
  readonly ticket?: string
  /** Position in a chain of calls, 1 for the first. */
  readonly depth?: number
  /** Cancels the call when it is aborted. */
  readonly signal?: AbortSignal
}

/** Result of a request. It contains an answer only if the answer is complete. */
export type CallResult =
  | { readonly verdict: 'done', readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: Uint8Array }
  /** The request did not run and can safely be sent again. */
  | { readonly verdict: 'not-run', readonly cause: NotRunCause }
  /** The request may have run; send it again only if it is idempotent or has a ticket. */
  | { readonly verdict: 'may-have-run', readonly cause: MayHaveRunCause }
