/** How a stand-in misbehaves. */
export interface FaultSettings {
  /** Pause before each answer, in milliseconds. */
  readonly latencyMs: number
  /** Answers every request with status 500 at once. */
  readonly failing: boolean
  /** Accepts no connection. */
  readonly down: boolean
}

export const noFaults: FaultSettings = { latencyMs: 0, failing: false, down: false }

const maxLatencyMs = 600_000

/** Reads a behaviour from a query such as `latencyMs=200&failing=true`; undefined when a word is unknown. */
export function parseFaultSettings (query: URLSearchParams): FaultSettings | undefined {
  const latencyMs = Number(query.get('latencyMs') ?? 0)
  const known = [...query.keys()].every(key => Object.hasOwn(noFaults, key))
  if (!known || !(latencyMs >= 0 && latencyMs <= maxLatencyMs)) return undefined
  return { latencyMs, failing: query.get('failing') === 'true', down: query.get('down') === 'true' }
}
