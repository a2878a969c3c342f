import type { Clock, Timeout } from 'auburnturn/core/clock'
import { compareSlotRequests } from './order.js'
import type { OrderingContext } from './order.js'
import type { AdmissionDecision, RefusalCause, SlotRequest } from './types.js'

/** A request in the queue. */
export interface QueuedRequest {
  readonly request: SlotRequest
  /** Clock milliseconds. */
  readonly queuedAt: number
  readonly resolve: (decision: AdmissionDecision) => void
  timer: Timeout | undefined
}

/** The requests that wait for a slot or for the rate limit. A request leaves the queue when it is taken or refused. */
export class RequestQueue {
  private readonly options: RequestQueueOptions
  private readonly queue: QueuedRequest[] = []

  private constructor (options: RequestQueueOptions) {
    this.options = options
  }

  static create (options: RequestQueueOptions): RequestQueue {
    return new RequestQueue(options)
  }

  get length (): number {
    return this.queue.length
  }

  /** Sum of the expected work of all requests, in milliseconds. */
  get workMs (): number {
    return this.queue.reduce((sum, { request }) => sum + request.workMs, 0)
  }

  /** Returns the requests that start before `request`. */
  listAhead (request: SlotRequest, context: OrderingContext): SlotRequest[] {
    return this.queue.filter(other => compareSlotRequests(other.request, request, context) <= 0).map(other => other.request)
  }

  /** Returns the requests in the order in which they start. */
  listInOrder (context: OrderingContext): QueuedRequest[] {
    return [...this.queue].sort((one, other) => compareSlotRequests(one.request, other.request, context))
  }

  /** Adds a request. After `maxWaitMs` it is refused as 'expired', and when it is cancelled, as 'left'. */
  add (request: SlotRequest, queuedAt: number, maxWaitMs: number): { readonly decision: Promise<AdmissionDecision>, readonly cancel: () => void } {
    let cancel = (): void => {}
    const decision = new Promise<AdmissionDecision>(resolve => {
      const queued: QueuedRequest = { request, queuedAt, resolve, timer: undefined }
      queued.timer = this.options.clock.timerWheel.after(maxWaitMs, () => { this.refuse(queued, 'expired') })
      cancel = () => { this.refuse(queued, 'left') }
      this.queue.push(queued)
    })
    return { decision, cancel }
  }

  /** Takes out the request to start first, of those that are not held back; undefined if there is none. */
  takeFirst (context: OrderingContext, isHeldBack: (request: SlotRequest) => boolean): QueuedRequest | undefined {
    let first: QueuedRequest | undefined
    for (const queued of this.queue) {
      if (isHeldBack(queued.request)) continue
      if (first === undefined || compareSlotRequests(queued.request, first.request, context) < 0) first = queued
    }
    if (first !== undefined) this.take(first)
    return first
  }

  /** Returns the requests in the order of their arrival. */
  listAll (): readonly QueuedRequest[] {
    return this.queue
  }

  /** Takes out a request to start it; does nothing if it has left the queue. */
  take (queued: QueuedRequest): void {
    const index = this.queue.indexOf(queued)
    if (index < 0) return
    this.queue.splice(index, 1)
    queued.timer?.cancel()
  }

  /** Refuses a request; does nothing if it has left the queue. */
  refuse (queued: QueuedRequest, cause: RefusalCause): void {
    const index = this.queue.indexOf(queued)
    if (index < 0) return
    this.queue.splice(index, 1)
    this.settleRefused(queued, cause)
  }

  /** Refuses all requests. */
  refuseAll (cause: RefusalCause): void {
    for (const queued of this.queue.splice(0)) this.settleRefused(queued, cause)
  }

  private settleRefused (queued: QueuedRequest, cause: RefusalCause): void {
    queued.timer?.cancel()
    queued.resolve(this.options.createRefusal(cause))
  }
}

interface RequestQueueOptions {
  readonly clock: Clock
  /** Returns the decision for a request that has just left the queue without a slot. */
  readonly createRefusal: (cause: RefusalCause) => AdmissionDecision
}
