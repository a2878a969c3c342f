/** Names of the seven guarantees, each checked by one rule. */
export type RuleName =
  | 'measuring-budget'
  | 'whole-answer'
  | 'true-refusal'
  | 'at-most-once'
  | 'no-work-after-leave'
  | 'drain-cuts-nothing'
  | 'configuration-forward'

interface TimedEvent {
  /** Time in milliseconds, on the same clock for the whole history. */
  readonly at: number
}

/** A caller sends a call. A call that is sent again has another sending. */
export interface CallSent extends TimedEvent {
  readonly kind: 'call-sent'
  readonly sending: string
  readonly call: string
  readonly idempotent: boolean
  /** Whether all sendings of the call carry the same ticket. */
  readonly ticketed: boolean
  /** Time after which every node abandons the call, in milliseconds. */
  readonly timeoutMs: number
}

/** A node passes a call to the upstream of its target. */
export interface WorkSent extends TimedEvent {
  readonly kind: 'work-sent'
  readonly sending: string
  readonly target: string
}

/** An upstream starts to execute a call. */
export interface ExecutionStarted extends TimedEvent {
  readonly kind: 'execution-started'
  readonly execution: string
  readonly sending: string
  readonly call: string
  readonly target: string
}

/** An upstream stops executing a call. */
export interface ExecutionEnded extends TimedEvent {
  readonly kind: 'execution-ended'
  readonly execution: string
  /** `failed` if the upstream itself aborted the answer, `cut` if its connection was closed before the end. */
  readonly how: 'whole' | 'failed' | 'cut'
  /** Content of the answer that the upstream sent, compared with the content that the caller received. */
  readonly content: string
}

/** A caller receives the head of an answer. */
export interface AnswerHead extends TimedEvent {
  readonly kind: 'answer-head'
  readonly sending: string
  readonly execution: string
}

/** The answer to a caller ends. */
export interface AnswerEnded extends TimedEvent {
  readonly kind: 'answer-ended'
  readonly sending: string
  readonly execution: string
  /** Whether the caller accepts the answer as complete. */
  readonly whole: boolean
  readonly content: string
}

/** A caller receives a refusal in place of an answer. */
export interface Refused extends TimedEvent {
  readonly kind: 'refused'
  readonly sending: string
  readonly verdict: 'not-run' | 'may-have-run'
  readonly cause: string
}

/** A caller stops waiting before it received an answer or a refusal. */
export interface CallerLeft extends TimedEvent {
  readonly kind: 'caller-left'
  readonly sending: string
}

/** The platform or a node accepted an entry for the first time. */
export interface ConfigurationAccepted extends TimedEvent {
  readonly kind: 'configuration-accepted'
  readonly key: string
  readonly version: number
  /** Nodes on which the version must become active. */
  readonly nodes: readonly string[]
}

/** A node reports the active version of an entry. */
export interface ConfigurationInForce extends TimedEvent {
  readonly kind: 'configuration-in-force'
  readonly node: string
  readonly key: string
  readonly version: number
}

/** The system first observes that a target is leaving. New work may still be sent to it for `newWorkMs`. */
export interface LeaveSeen extends TimedEvent {
  readonly kind: 'leave-seen'
  readonly target: string
  readonly newWorkMs: number
}

/** A target starts a graceful shutdown. */
export interface ShutdownStarted extends TimedEvent {
  readonly kind: 'shutdown-started'
  readonly target: string
}

/** A target or the path to it fails, so that calls in flight there may be aborted. */
export interface TargetFailed extends TimedEvent {
  readonly kind: 'target-failed'
  readonly target: string
}

/** A node sent messages only for measuring. */
export interface MeasuringSpent extends TimedEvent {
  readonly kind: 'measuring-spent'
  readonly node: string
  readonly messages: number
  readonly bytes: number
  readonly budget: { readonly messagesPerSecond: number, readonly bytesPerSecond: number }
}

/** End of the history. Calls and executions that are still in flight violate no guarantee. */
export interface HistoryEnded extends TimedEvent {
  readonly kind: 'history-ended'
}

/** One recorded event. */
export type HistoryEvent =
  | CallSent | WorkSent | ExecutionStarted | ExecutionEnded | AnswerHead | AnswerEnded | Refused | CallerLeft
  | ConfigurationAccepted | ConfigurationInForce | LeaveSeen | ShutdownStarted | TargetFailed | MeasuringSpent | HistoryEnded

/** A guarantee that the history violates. */
export interface Violation {
  readonly rule: RuleName
  /** Description of the violation, with the names of the sendings, executions, targets or nodes. */
  readonly detail: string
}

/** Checks one guarantee. */
export type Rule = (history: IndexedHistory) => Violation[]

/** A sending, the answers to it and its refusal. Positions are indices in the history. */
export interface Sending {
  readonly sent: CallSent
  readonly position: number
  /** Position of the first answer or refusal that ended the sending. */
  endPosition: number | undefined
  refusal: Refused | undefined
  answers: AnswerEnded[]
}

/** An execution and its end. Positions are indices in the history. */
export interface Execution {
  readonly started: ExecutionStarted
  readonly position: number
  endPosition: number | undefined
  ended: ExecutionEnded | undefined
}

/** The events in recorded order, and the sendings and executions by name. */
export interface IndexedHistory {
  readonly events: readonly HistoryEvent[]
  readonly sendings: ReadonlyMap<string, Sending>
  readonly executions: ReadonlyMap<string, Execution>
}
