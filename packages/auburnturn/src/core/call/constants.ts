/** Names of the headers used by callers and between nodes, documented in docs/INTERFACE.md. */
export const headerNames = {
  /** Milliseconds that remain until the deadline of the call. */
  timeout: 'auburnturn-timeout-ms',
  /** `yes` or `no`: whether the caller declares the call idempotent. */
  idempotent: 'auburnturn-idempotent',
  /** Names the one target and incarnation that may run the call. */
  ticket: 'auburnturn-ticket',
  /** The verdict, on every answer: `not-run`, `may-have-run` or `done`. */
  verdict: 'auburnturn-verdict',
  /** The cause of a verdict that is not `done`. */
  cause: 'auburnturn-cause',
  /** Number of earlier attempts at this call by all layers; 0 for the first. */
  attempt: 'auburnturn-attempt',
  /** `no` on a refusal after a lower layer has already retried the call: the layers above must not retry it. */
  retry: 'auburnturn-retry',
  /** Position of this call in a chain of calls; 1 for the first. */
  depth: 'auburnturn-depth',
  /** A node's load, on answers between nodes. */
  load: 'auburnturn-load',
  /** The incarnation that answered, on answers between nodes. */
  incarnation: 'auburnturn-incarnation',
  /** Service that the call is addressed to, between nodes. */
  service: 'auburnturn-service',
  /** `yes` on an answer that was recorded for an earlier attempt with the same ticket. */
  recorded: 'auburnturn-recorded',
  /** `wanted` between nodes: the sender will use a successor ticket if the ticket of this call is refused. */
  successor: 'auburnturn-successor',
  /** `wanted` on a request: the same header of the answer then lists the targets that were tried, in order. */
  triedTargets: 'auburnturn-way',
  /** Number of one send of a call to another node; the answer repeats it, so that it is known which send it answers. */
  send: 'auburnturn-send',
  /** Identifier of the call in logs and histories, between nodes. */
  callId: 'auburnturn-call-id',
  /** The caller, a service name or an address, between nodes. */
  caller: 'auburnturn-caller'
} as const

/** Prefix of all headers above. Nodes do not forward any other header with this prefix. */
export const headerPrefix = 'auburnturn-'
