/** The target of the letter: sizes and bounds. */
export const capacityTarget = {
  nodes: 19_000,
  services: 1_900,
  callsPerSecond: 5_100_000,
  callDepth: 10,
  addedLatencyMs: 0.67,
  regions: 10,
  failureDomains: 22,
  configurationChangesPerDay: 31_000,
  configurationDelayMs: 10_000,
  coreShare: 0.016,
  memoryMegabytes: 128,
  controlBytesPerSecond: 7_000,
  vmFailuresPerDay: 35,
  vmRestartsPerDay: 1_900,
  platformReadsPerSecond: 2_000,
  /** Part of the platform's reads that we allow ourselves. */
  platformReadShare: 0.1
} as const
