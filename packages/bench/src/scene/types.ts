/** One kind of request in a scene. Times are in milliseconds. */
export interface RequestKind {
  readonly name: string
  readonly service: string
  readonly perSecond: number
  readonly workMs: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  /** Lower numbers are more urgent. */
  readonly priority: number
  readonly idempotent: boolean
  /** What an answer within the objective is worth; a late one is worth a tenth. */
  readonly worth: number
  /** A call of its own that a running request makes with this probability; its failure fails the request. */
  readonly call?: { readonly kind: string, readonly share: number }
}

/** The targets of one service. */
export interface TargetGroup {
  readonly service: string
  /** Number of targets; each has a VM of its own, in one of three failure domains. */
  readonly count: number
  readonly slots: number
  /** Length of the queue of a target itself, in requests; more are rejected. */
  readonly queue: number
  /** Slow moments: in each span of time a target is slower by `factor` with probability `share`. */
  readonly noise: { readonly share: number, readonly factor: number, readonly everyMs: number }
}

/** A span of a scene in which something differs. Times are milliseconds from the start. */
export interface Disturbance {
  readonly fromMs: number
  readonly toMs: number
  /** Factor on the arrivals of all kinds. */
  readonly load?: number
  /** Share of the requests that targets of a service reject without running them; all of its targets unless `count` is given. */
  readonly shed?: { readonly service: string, readonly share: number, readonly count?: number }
  /** Number of targets of a service that are down; the others go on. */
  readonly down?: { readonly service: string, readonly count: number }
  /** Requests per second that each of the first targets of a service takes from all nodes together, and names in its answers. */
  readonly rateLimit?: { readonly service: string, readonly count: number, readonly perSecond: number }
  /** Nodes beside the first targets of a service that restart at the start of the span: they know nothing of before. */
  readonly restart?: { readonly service: string, readonly count: number }
}

/** Load, targets and disturbances that are played in virtual time. */
export interface Scene {
  readonly name: string
  readonly kinds: readonly RequestKind[]
  readonly groups: readonly TargetGroup[]
  readonly disturbances: readonly Disturbance[]
  readonly lengthMs: number
  /** Time of a request between two nodes, there and back, in milliseconds, processing included. */
  readonly hopMs: number
}

/** How one request of a caller ended. */
export type Ending = 'in-time' | 'late' | 'refused' | 'failed'

/** Numbers of one kind or one span of time. */
export interface Tally {
  requests: number
  inTime: number
  late: number
  refused: number
  failed: number
  /** Requests that were refused, came back, and were refused again. */
  refusedAgain: number
  worthOwed: number
  worthEarned: number
}

/** What a played scene shows. */
export interface SceneResult {
  readonly total: Tally
  readonly kinds: ReadonlyMap<string, Tally>
  /** Spans of two seconds, in order. */
  readonly windows: readonly Tally[]
  /** Requests that nodes sent to other nodes, refused ones included. */
  readonly attempts: number
  /** Most requests that a target with a rate limit got in some 4 s, as a multiple of what the limit allows; 0 without limits. */
  readonly rateLimitUse: number
}
