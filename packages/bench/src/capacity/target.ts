/** The target of the letter: sizes and bounds. */
export const target = {
  nodes: 19_000,
  services: 1_900,
  callsPerSecond: 5_100_000,
  depth: 10,
  addedMs: 0.67,
  regions: 10,
  failureDomains: 22,
  changesPerDay: 31_000,
  inForceMs: 10_000,
  coreShare: 0.016,
  megabytes: 128,
  bytesPerSecond: 7_000,
  failingPerDay: 35,
  restartsPerDay: 1_900,
  platformReadsPerSecond: 2_000,
  /** Part of the platform's reads that we allow ourselves. */
  readShare: 0.1
} as const
