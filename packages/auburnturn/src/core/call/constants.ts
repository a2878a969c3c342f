/** Header names of the callers' interface and between nodes; docs/INTERFACE.md documents them. */
export const headerNames = {
  /** Milliseconds left for the call. */
  timeout: 'auburnturn-timeout-ms',
  /** `yes` or `no`: the caller's own word on whether the call may repeat. */
  idempotent: 'auburnturn-idempotent',
  /** Names the one target and incarnation that may run the call. */
  ticket: 'auburnturn-ticket',
  /** `not-run`, `may-have-run` or `done`, on every answer. */
  verdict: 'auburnturn-verdict',
  /** The cause of a verdict that is not `done`. */
  cause: 'auburnturn-cause',
  /** Attempts made before this one at this call by all layers; 0 for the first. */
  attempt: 'auburnturn-attempt',
  /** `no` on a refusal that a layer below has already sent again: the layers above must not. */
  retry: 'auburnturn-retry',
  /** How deep in a chain of calls this call is; 1 for the first. */
  depth: 'auburnturn-depth',
  /** A node's load, on answers between nodes. */
  load: 'auburnturn-load',
  /** The incarnation that answered, on answers between nodes. */
  incarnation: 'auburnturn-incarnation',
  /** The service a call is for, between nodes. */
  service: 'auburnturn-service',
  /** `yes` on an answer that was recorded for an earlier sending of the same ticket. */
  recorded: 'auburnturn-recorded',
  /** `wanted` between nodes: a refused ticket is to be replaced, since the sender will follow it. */
  successor: 'auburnturn-successor',
  /** `wanted` by a caller: the answer then names the targets that were tried, in order, in the same header. */
  triedTargets: 'auburnturn-way',
  /** The call's name in logs and histories, between nodes. */
  callId: 'auburnturn-call-id',
  /** Who made the call, between nodes. */
  caller: 'auburnturn-caller'
} as const

/** Prefix of every header above. No other header with it passes a node. */
export const headerPrefix = 'auburnturn-'
