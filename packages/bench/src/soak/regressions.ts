/** A run that once broke a promise. */
export interface Regression {
  readonly seed: number
  readonly vms: number
  /** Requests a second at each VM. */
  readonly requestsPerSecond: number
  readonly cause: string
}

/** Every seed that ever failed; `npm run soak -- --regressions` runs them again. */
export const regressions: readonly Regression[] = [
  { seed: 3, vms: 9, requestsPerSecond: 20, cause: 'a draining node ended with connections that it had not read' },
  { seed: 11, vms: 9, requestsPerSecond: 20, cause: 'a draining node ended with connections that it had not read' },
  { seed: 21, vms: 9, requestsPerSecond: 20, cause: 'a draining node stopped listening with connections that it had not taken' },
  { seed: 3, vms: 36, requestsPerSecond: 8, cause: 'a slow node had a second to tell its configuration before the store was asked' }
]
