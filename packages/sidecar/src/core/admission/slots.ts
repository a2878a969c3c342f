import type { Clock, Timeout } from 'auburnturn/core/clock'
import { slowFactor } from '../targets/index.js'
import { maxQueuedPerSlot, meanWorkWeight } from './constants.js'
import { compareSlotRequests, isShort } from './order.js'
import type { OrderingContext } from './order.js'
import type { AdmissionDecision, RefusalCause, ServiceSpeed, SlotRequest } from './types.js'

/** A request in the queue for a slot; times are clock milliseconds. */
interface QueuedRequest {
  readonly request: SlotRequest
  readonly queuedAt: number
  readonly resolve: (decision: AdmissionDecision) => void
  timer: Timeout | undefined
}

/** A slot that was requested, and may be granted later. */
export interface SlotAcquisition {
  readonly decision: Promise<AdmissionDecision>
  /** Removes the request from the queue; does nothing once it is decided. */
  cancel (): void
}

/** The slots of the target on this VM, and the queue of requests for them. */
export class Slots {
  private readonly clock: Clock
  private readonly queue: QueuedRequest[] = []
  private runningCount = 0
  private runningWorkMs = 0
  private slotLimit = 1
  private speed: ServiceSpeed = { slowness: 1, usualSlowness: 1, expectedSlowMs: 0 }
  private meanWorkMs = 0
  private accepting = true

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Slots {
    return new Slots(clock)
  }

  /** Number of requests that run now. */
  get running (): number {
    return this.runningCount
  }

  /** Number of requests in the queue. */
  get waiting (): number {
    return this.queue.length
  }

  /** Maximum number of requests that run at the same time. */
  get limit (): number {
    return this.slotLimit
  }

  /** Whether work at present takes much longer than usual. */
  get slow (): boolean {
    return this.speed.slowness >= this.speed.usualSlowness * slowFactor
  }

  /** Sets the present capacity of the target: how many requests may run, and how fast they run. */
  setCapacity (limit: number, speed: ServiceSpeed): void {
    this.slotLimit = Math.max(1, limit)
    this.speed = speed
    this.startNext()
  }

  /** Refuses all queued and all later requests; running requests continue. */
  close (): void {
    this.accepting = false
    for (const queued of this.queue.splice(0)) this.refuse(queued, 'closed')
  }

  /** Requests a slot; it is granted or refused immediately unless the request has to be queued. */
  acquire (request: SlotRequest): SlotAcquisition {
    const now = this.clock.now()
    this.meanWorkMs += (request.workMs - this.meanWorkMs) * (this.meanWorkMs === 0 ? 1 : meanWorkWeight)
    const cause = this.findRefusalCause(request, now)
    if (cause !== undefined) return createDecidedAcquisition(this.createRefusal(cause))
    if (!this.hasFreeSlot || this.isHeld(request)) return this.enqueue(request, now)
    this.occupy(request)
    return createDecidedAcquisition({ kind: 'admitted', waitedMs: 0 })
  }

  /** Releases the slot that was acquired for `request`. */
  release (request: SlotRequest): void {
    this.runningCount--
    this.runningWorkMs -= request.workMs
    this.startNext()
  }

  /** Refuses all queued requests. Used after a pause of this process, when it is unknown how long they have waited. */
  refuseQueued (): void {
    for (const queued of this.queue.splice(0)) this.refuse(queued, 'expired')
  }

  /** Expected milliseconds until a request that comes back finds a free slot, after all that are queued now. */
  estimateRetryAfterMs (): number {
    const queuedMs = this.queue.reduce((sum, { request }) => sum + request.workMs, 0)
    return this.estimateWaitMs(queuedMs)
  }

  /** Whether a request that arrives now finds a free slot and an empty queue. */
  private get hasFreeSlot (): boolean {
    return this.runningCount < this.slotLimit && this.queue.length === 0
  }

  /**
   * Expected milliseconds until a request that arrives now can start, when `aheadMs` of queued work run before it. On average,
   * running requests are half done.
   */
  private estimateWaitMs (aheadMs: number): number {
    const halfOfRunningMs = this.runningCount === 0 ? 0 : this.runningWorkMs / this.runningCount / 2
    const { slowness } = this.createOrderingContext(0)
    const holdMs = this.isHoldingWork ? this.speed.expectedSlowMs : 0
    return holdMs + (halfOfRunningMs / Math.max(1, Math.min(this.runningCount, this.slotLimit)) + aheadMs / this.slotLimit) * slowness
  }

  /**
   * Whether requests are held back until the target works at its usual speed. Work that starts while the target is slow stays
   * slow to its end, so waiting is better unless the wait is longer than what it saves.
   */
  private get isHoldingWork (): boolean {
    return this.slow && this.gainsFromHolding(this.meanWorkMs)
  }

  /** Whether the usual speed saves more time for this work than the wait for it takes. */
  private gainsFromHolding (workMs: number): boolean {
    const { slowness, usualSlowness, expectedSlowMs } = this.speed
    return workMs * (slowness - usualSlowness) > expectedSlowMs
  }

  /** Whether a request keeps waiting for the usual speed. */
  private isHeld ({ workMs }: SlotRequest): boolean {
    return this.isHoldingWork && this.gainsFromHolding(workMs)
  }

  /** Why a request that arrives now is refused; undefined if it may start or be queued. */
  private findRefusalCause (request: SlotRequest, now: number): RefusalCause | undefined {
    if (!this.accepting) return 'closed'
    const remainingMs = request.deadlineAt - now
    if (remainingMs <= 0) return 'expired'
    if (!request.mayWait && this.slow) return 'slow'
    // A free slot is always used, since the estimates of work and waits may be wrong.
    if (this.hasFreeSlot) return undefined
    const context = this.createOrderingContext(now)
    if (this.queue.length >= this.slotLimit * maxQueuedPerSlot && !isShort(request, context)) return 'overloaded'
    const aheadMs = this.queue.reduce((sum, { request: other }) => compareSlotRequests(other, request, context) <= 0 ? sum + other.workMs : sum, 0)
    return this.estimateWaitMs(aheadMs) > this.computeMaxWaitMs(request, now) ? 'overloaded' : undefined
  }

  private createOrderingContext (now: number): OrderingContext {
    const { slowness, usualSlowness } = this.speed
    // Requests that are held back start when the target works at its usual speed.
    return { now, slowness: this.isHoldingWork ? usualSlowness : slowness, meanWorkMs: this.meanWorkMs }
  }

  /**
   * Longest time that a request may stay queued, in milliseconds: until it can no longer meet its objective, so that its caller
   * has time for another attempt. Short requests may wait as long as they can still meet their deadline, since mostly a running
   * request needs their answer even after the objective.
   */
  private computeMaxWaitMs (request: SlotRequest, now: number): number {
    const { workMs, objectiveAt, deadlineAt } = request
    const context = this.createOrderingContext(now)
    const expectedMs = workMs * context.slowness
    if (isShort(request, context)) return deadlineAt - now - expectedMs
    return Math.max(0, Math.min(objectiveAt, deadlineAt) - now - expectedMs)
  }

  private enqueue (request: SlotRequest, now: number): SlotAcquisition {
    let cancel = (): void => {}
    const decision = new Promise<AdmissionDecision>(resolve => {
      const queued: QueuedRequest = { request, queuedAt: now, resolve, timer: undefined }
      const remove = (cause: RefusalCause): void => {
        const index = this.queue.indexOf(queued)
        if (index < 0) return
        this.queue.splice(index, 1)
        this.refuse(queued, cause)
      }
      // A request that can no longer finish in time is refused at that time, not at its deadline.
      queued.timer = this.clock.timerWheel.after(Math.max(0, this.computeMaxWaitMs(request, now)), () => { remove('expired') })
      cancel = () => { remove('left') }
      this.queue.push(queued)
    })
    // This request can start immediately if a slot is free and all requests ahead of it are held back.
    this.startNext()
    return { decision, cancel: () => { cancel() } }
  }

  private startNext (): void {
    const now = this.clock.now()
    while (this.accepting && this.runningCount < this.slotLimit && this.queue.length > 0) {
      const next = this.dequeueNext(now)
      if (next === undefined) return
      next.timer?.cancel()
      this.occupy(next.request)
      next.resolve({ kind: 'admitted', waitedMs: now - next.queuedAt })
    }
  }

  /** Removes the request to start next from the queue; undefined when all are held back for the usual speed. */
  private dequeueNext (now: number): QueuedRequest | undefined {
    const context = this.createOrderingContext(now)
    let first: QueuedRequest | undefined
    for (const queued of this.queue) {
      if (this.isHeld(queued.request)) continue
      if (first === undefined || compareSlotRequests(queued.request, first.request, context) < 0) first = queued
    }
    if (first !== undefined) this.queue.splice(this.queue.indexOf(first), 1)
    return first
  }

  private occupy (request: SlotRequest): void {
    this.runningCount++
    this.runningWorkMs += request.workMs
  }

  private refuse (queued: QueuedRequest, cause: RefusalCause): void {
    queued.timer?.cancel()
    queued.resolve(this.createRefusal(cause))
  }

  private createRefusal (cause: RefusalCause): AdmissionDecision {
    return { kind: 'refused', cause, retryAfterMs: Math.round(Math.max(this.meanWorkMs, this.estimateRetryAfterMs())) }
  }
}

/** Creates an acquisition that was decided without queueing. */
function createDecidedAcquisition (decision: AdmissionDecision): SlotAcquisition {
  return { decision: Promise.resolve(decision), cancel: () => {} }
}
