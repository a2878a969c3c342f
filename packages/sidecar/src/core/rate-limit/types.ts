/** How many requests a target takes, as its node reports it. */
export interface RateAllowance {
  /** Requests per second that the target takes from all nodes together; `unlimited` without a limit. */
  readonly rateLimit: number
  /** Requests that the limit lets through now, less those that are queued for it; `unlimited` without a limit. */
  readonly rateAllowance: number
}

/** A change of the limit that a target names; rates are in requests per second, `unlimited` without a limit. */
export interface RateLimitChange {
  readonly from: number
  readonly to: number
  /** Milliseconds for which the target has named a limit without a break; 0 when it has just begun to. */
  readonly ageMs: number
}

/** What a rate limit did with a request: another target is tried, it waits, or it is refused to its caller. */
export type RateLimitEffect = 'redirected' | 'queued' | 'refused'
