/** The deployment that the project is designed for: its size, and the bounds on cost and delay. */
export const capacityTarget = {
  nodes: 19_000,
  services: 1_900,
  callsPerSecond: 5_100_000,
  /** Largest number of nested calls. */
  callDepth: 10,
  /** Latency that the load balancer may add to 99 in 100 calls. */
  addedLatencyMs: 0.67,
  regions: 10,
  failureDomains: 22,
  configurationChangesPerDay: 31_000,
  /** Time within which a change of the configuration is active on every node. */
  configurationDelayMs: 10_000,
  /** Bounds of the control traffic of one node: share of a core, memory, and bytes per second. */
  coreShare: 0.016,
  memoryMegabytes: 128,
  controlBytesPerSecond: 7_000,
  /** VMs that fail and VMs that restart. */
  vmFailuresPerDay: 35,
  vmRestartsPerDay: 1_900,
  platformReadsPerSecond: 2_000,
  /** Share of the platform's reads that all nodes together may use. */
  platformReadShare: 0.1
} as const
