import type { Headers } from '../exchange/index.js'

/** What the head of a request says to this system. */
export interface RequestHead {
  /** Id of the caller's attempt; empty when there is none. */
  readonly id: string
  /** Milliseconds for which the sender waits from now on. */
  readonly timeoutMs: number | undefined
  /** Service on the VM where the request began. */
  readonly caller: string
  /** Id of the one target that may run the request. */
  readonly target: string
}

/** A target's word on its load. */
export interface TargetLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes at the moment; 1 is as usual. */
  readonly slowness: number | undefined
}

/** What the head of a target's answer says to this system. */
export interface AnswerHead {
  readonly id: string
  /** The answer is the target's own. */
  readonly sealed: boolean
  /** The target proves that it did not run the request. */
  readonly notRun: boolean
  /** The body is not as the target made it. */
  readonly encoded: boolean
  readonly leaving: boolean
  /** Id of the target, where it is told. */
  readonly targetId: string
  readonly load: TargetLoad | undefined
}

/** How requests and answers are written on the platform. */
export interface Protocol {
  readRequest (headers: Headers): RequestHead
  /** The head for the next hop, without what concerns one connection only. */
  writeRequest (headers: Headers, head: RequestHead): string[]
  readAnswer (status: number, headers: Headers): AnswerHead
  /** The headers of an answer for the hop before. */
  passAnswer (headers: Headers): string[]
}
