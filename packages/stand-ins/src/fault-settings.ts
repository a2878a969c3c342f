/** Faults that a stand-in injects into its own responses. */
export interface FaultSettings {
  /** Delay before each response, in milliseconds. */
  readonly latencyMs: number
  /** Whether every request gets status 500 immediately. */
  readonly failing: boolean
  /** Whether connections are refused. */
  readonly down: boolean
}

/** Settings of a stand-in that works normally. */
export const noFaults: FaultSettings = { latencyMs: 0, failing: false, down: false }

const maxLatencyMs = 600_000

/** Parses a query such as `latencyMs=200&failing=true`; returns undefined for an unknown key or a latency out of range. */
export function parseFaultSettings (query: URLSearchParams): FaultSettings | undefined {
  const latencyMs = Number(query.get('latencyMs') ?? 0)
  const allKeysKnown = [...query.keys()].every(key => Object.hasOwn(noFaults, key))
  if (!allKeysKnown || !(latencyMs >= 0 && latencyMs <= maxLatencyMs)) return undefined
  return { latencyMs, failing: query.get('failing') === 'true', down: query.get('down') === 'true' }
}
