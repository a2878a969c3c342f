/** Whether a request of a route may run more than once. */
export type RouteKind = 'idempotent' | 'non-idempotent'

/** One service of a route and its weight among the others. */
export interface Share {
  readonly service: string
  readonly weight: number
}

/** How requests for one host and path prefix are treated. */
export interface Route {
  readonly name: string
  /** Lower case, without a port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Longest time in milliseconds that a caller is kept waiting. */
  readonly timeoutMs: number
  /** Time in milliseconds within which an answer has its full worth. */
  readonly objectiveMs: number
  /** 0 is served first. */
  readonly priority: number
  /** Most targets to which one request may be sent. */
  readonly maxAttempts: number
  /** At least one. */
  readonly shares: readonly Share[]
}

/** What is known of a service beside its targets. */
export interface Service {
  readonly name: string
  readonly healthPath: string
}

/** Bounds on what callers may send. */
export interface Limits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One whole configuration; versions only grow. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: Limits
}
