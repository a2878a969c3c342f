/** A run that has failed a check in the past. */
export interface Regression {
  readonly seed: number
  readonly vms: number
  /** Requests per second at each VM. */
  readonly requestsPerSecond: number
  readonly cause: string
}

/** Every seed that has ever failed; `npm run soak -- --regressions` runs them again. */
export const regressions: readonly Regression[] = [
  { seed: 3, vms: 9, requestsPerSecond: 20, cause: 'a draining node exited before it had read its open connections' },
  { seed: 11, vms: 9, requestsPerSecond: 20, cause: 'a draining node exited before it had read its open connections' },
  { seed: 21, vms: 9, requestsPerSecond: 20, cause: 'a draining node stopped listening before it had accepted all waiting connections' },
  { seed: 3, vms: 36, requestsPerSecond: 8, cause: 'other nodes waited up to a second for the configuration of a slow node before they requested it from the store' }
]
