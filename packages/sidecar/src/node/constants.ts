/** Port and path of the metrics; deploy/system.toml has the same values. */
export const metricsPort = 9_464
export const metricsPath = '/metrics'

/** Idle timeout of callers' connections before the first configuration is active, in milliseconds. */
export const defaultCallerIdleTimeoutMs = 60_000

/** Share of the process's memory limit that all bodies may use together, from their receipt to the end of their requests. */
export const bodyMemoryShare = 0.3

export const bytesPerMegabyte = 1024 * 1024
