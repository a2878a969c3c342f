/** Whether a request of a route may be executed more than once. */
export type RouteKind = 'idempotent' | 'non-idempotent'

/** A service of a route; it receives requests in proportion to its weight. */
export interface Share {
  readonly service: string
  readonly weight: number
}

/** Settings for requests with one host and path prefix. */
export interface Route {
  readonly name: string
  /** Lower case, without a port. */
  readonly host: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Maximum time until a request is answered, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective in milliseconds; a later answer is less useful to the caller. */
  readonly objectiveMs: number
  /** Requests with lower values are served first; 0 is the first. */
  readonly priority: number
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number
  /** Not empty. */
  readonly shares: readonly Share[]
}

/** Settings of a service; its targets are listed separately. */
export interface Service {
  readonly name: string
  /** Path of the health check of its targets. */
  readonly healthPath: string
}

/** Limits for the requests and connections of callers. */
export interface Limits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Maximum time to receive the headers of a request. */
  readonly headerTimeoutMs: number
  /** How long an idle connection is kept open. */
  readonly idleTimeoutMs: number
}

/** A complete configuration. Each new one has a higher version. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: Limits
}
