/** The brief's seven promises, one rule each. */
export type RuleName =
  | 'measuring-budget'
  | 'whole-answer'
  | 'true-refusal'
  | 'at-most-once'
  | 'no-work-after-leave'
  | 'drain-cuts-nothing'
  | 'configuration-forward'

interface TimedEvent {
  /** Time in milliseconds on one clock for the whole history. */
  readonly at: number
}

/** A caller sends a call; a resend is another sending of the same call. */
export interface CallSent extends TimedEvent {
  readonly kind: 'call-sent'
  readonly sending: string
  readonly call: string
  readonly idempotent: boolean
  /** Whether all sendings of the call carry one ticket. */
  readonly ticketed: boolean
  /** Time after which the call is given up wherever it is, in milliseconds. */
  readonly timeoutMs: number
}

/** A node hands a call to the upstream of its target. */
export interface WorkSent extends TimedEvent {
  readonly kind: 'work-sent'
  readonly sending: string
  readonly target: string
}

/** An upstream starts to run a call. */
export interface ExecutionStarted extends TimedEvent {
  readonly kind: 'execution-started'
  readonly execution: string
  readonly sending: string
  readonly call: string
  readonly target: string
}

/** An upstream stops running a call. */
export interface ExecutionEnded extends TimedEvent {
  readonly kind: 'execution-ended'
  readonly execution: string
  /** `failed` when the upstream itself broke off, `cut` when its connection was taken away. */
  readonly how: 'whole' | 'failed' | 'cut'
  /** What the upstream answered, for comparison. */
  readonly content: string
}

/** A caller receives the head of an answer. */
export interface AnswerHead extends TimedEvent {
  readonly kind: 'answer-head'
  readonly sending: string
  readonly execution: string
}

/** A caller's answer ends. */
export interface AnswerEnded extends TimedEvent {
  readonly kind: 'answer-ended'
  readonly sending: string
  readonly execution: string
  /** Whether the caller takes it for complete. */
  readonly whole: boolean
  readonly content: string
}

/** A caller is told that its sending got no answer. */
export interface Refused extends TimedEvent {
  readonly kind: 'refused'
  readonly sending: string
  readonly verdict: 'not-run' | 'may-have-run'
  readonly cause: string
}

/** A caller stops waiting without having been told anything. */
export interface CallerLeft extends TimedEvent {
  readonly kind: 'caller-left'
  readonly sending: string
}

/** The platform or a node accepted an entry for the first time. */
export interface ConfigurationAccepted extends TimedEvent {
  readonly kind: 'configuration-accepted'
  readonly key: string
  readonly version: number
  /** Nodes on which it is to come into force. */
  readonly nodes: readonly string[]
}

/** A node reports which version of an entry is in force. */
export interface ConfigurationInForce extends TimedEvent {
  readonly kind: 'configuration-in-force'
  readonly node: string
  readonly key: string
  readonly version: number
}

/** The system learned that a target is leaving; new work may still start until `newWorkMs` later. */
export interface LeaveSeen extends TimedEvent {
  readonly kind: 'leave-seen'
  readonly target: string
  readonly newWorkMs: number
}

/** A target starts to shut down in good order. */
export interface ShutdownStarted extends TimedEvent {
  readonly kind: 'shutdown-started'
  readonly target: string
}

/** A target or the path to it fails, so that what is in flight there may be cut. */
export interface TargetFailed extends TimedEvent {
  readonly kind: 'target-failed'
  readonly target: string
}

/** A node spent something only to measure. */
export interface MeasuringSpent extends TimedEvent {
  readonly kind: 'measuring-spent'
  readonly node: string
  readonly messages: number
  readonly bytes: number
  readonly budget: { readonly messagesPerSecond: number, readonly bytesPerSecond: number }
}

/** The history stops here; what is still open is nobody's fault. */
export interface HistoryEnded extends TimedEvent {
  readonly kind: 'history-ended'
}

/** One thing that was observed. */
export type HistoryEvent =
  | CallSent | WorkSent | ExecutionStarted | ExecutionEnded | AnswerHead | AnswerEnded | Refused | CallerLeft
  | ConfigurationAccepted | ConfigurationInForce | LeaveSeen | ShutdownStarted | TargetFailed | MeasuringSpent | HistoryEnded

/** A promise that a history shows broken. */
export interface Violation {
  readonly rule: RuleName
  /** What happened, with the names of the sendings, executions, targets or nodes. */
  readonly detail: string
}

/** Checks one promise. */
export type Rule = (history: IndexedHistory) => Violation[]

/** A sending with its end, by position in the history. */
export interface Sending {
  readonly sent: CallSent
  readonly position: number
  /** Position at which the caller was told how it ended. */
  endPosition: number | undefined
  refusal: Refused | undefined
  answers: AnswerEnded[]
}

/** An execution with its end, by position in the history. */
export interface Execution {
  readonly started: ExecutionStarted
  readonly position: number
  endPosition: number | undefined
  ended: ExecutionEnded | undefined
}

/** The events in observed order, and who belongs to whom. */
export interface IndexedHistory {
  readonly events: readonly HistoryEvent[]
  readonly sendings: ReadonlyMap<string, Sending>
  readonly executions: ReadonlyMap<string, Execution>
}
