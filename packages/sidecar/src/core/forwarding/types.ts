import type { CancelSignal } from 'auburnturn/core/clock'
import type { Headers } from '../exchange/index.js'
import type { Job, Outcome } from '../own-target/index.js'
import type { Candidate } from '../targets/index.js'

/** Fields of a caller's request head that this system uses. */
export interface RequestHead {
  /** Id of the caller's attempt; empty when missing. */
  readonly id: string
  /** Time that the caller still waits, in milliseconds; undefined when missing or invalid. */
  readonly timeoutMs: number | undefined
}

/** Fields that a target expects in the head of a request. */
export interface TargetRequestHead {
  /** Id of the caller's attempt. */
  readonly id: string
  /** Time that the caller still waits, in milliseconds. */
  readonly timeoutMs: number
  /** Service on the VM where the request originated. */
  readonly caller: string
  /** Id of the only target that may run the request. */
  readonly target: string
}

/** Load that a target reports. */
export interface TargetLoad {
  /** Requests being processed. */
  readonly running: number
  /** Requests in the queue of the target. */
  readonly waiting: number
  /** Requests that the target processes at a time. */
  readonly slots: number
  /** Present service time relative to the usual one, which is 1. */
  readonly slowness: number | undefined
}

/** Rate limit that an answer names, in requests per second; 'unreadable' for a value that is no such number. */
export type NamedRateLimit = number | 'none' | 'unreadable'

/** Fields of an answer head that this system uses. */
export interface AnswerHead {
  /** Id of the attempt that is answered; empty when missing. */
  readonly id: string
  /** The target certifies that it made the answer. */
  readonly sealed: boolean
  /** The target reports that it did not run the request. */
  readonly notRun: boolean
  /** The answer has a content encoding, so the body is not as the target made it. */
  readonly encoded: boolean
  /** The target announces that it drains: it ends soon. */
  readonly draining: boolean
  /** Requests per second that the target takes from all nodes together. */
  readonly rateLimit: NamedRateLimit
  /** Id of the target; empty when missing. */
  readonly targetId: string
  readonly load: TargetLoad | undefined
}

/** Reads and writes the headers of requests and answers on the platform. */
export interface Protocol {
  readRequest (headers: Headers): RequestHead
  /** Returns the request headers to forward: without hop-by-hop headers and those that each node sets itself. */
  filterRequest (headers: Headers): string[]
  /** Adds the headers that a target expects to those that are forwarded. */
  writeRequest (headers: Headers, head: TargetRequestHead): string[]
  readAnswer (status: number, headers: Headers): AnswerHead
  /** Returns the answer headers for the caller: without hop-by-hop headers, the length and the load. */
  filterAnswer (headers: Headers): string[]
}

/** Sends requests to the nodes on the VMs of targets. */
export interface RequestSender {
  send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome>
}
