import type { Headers } from '../exchange/index.js'

/** A request to be forwarded, with the inputs of routing and admission. Times are clock milliseconds. */
export interface Job {
  /** Id of the caller's attempt. */
  readonly id: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers of the caller that are forwarded. */
  readonly headers: Headers
  readonly body: Buffer
  readonly route: string
  readonly service: string
  /** Service on the VM where the request originated. */
  readonly caller: string
  readonly idempotent: boolean
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number
  /** Lower numbers are more urgent; 0 is served first. */
  readonly priority: number
  /** Whether the request may wait for the target's usual speed or its rate limit; otherwise it is refused. */
  readonly mayWait: boolean
  /** When the latency objective of the request ends; an answer after this has less value. */
  readonly objectiveAt: number
  /** When the caller stops waiting for the answer. */
  readonly deadlineAt: number
}
