import type { Clock, Timeout } from 'auburnturn/core/clock'
import { RateLimit, unlimited } from '../rate-limit/index.js'
import { maxQueuedPerSlot, maxRetryAfterMs, meanWorkWeight } from './constants.js'
import { computeMaxWaitMs, createOrderingContext, estimateWaitMs, isHeld, isSlow } from './forecast.js'
import type { TargetWork } from './forecast.js'
import { LoneRuns } from './lone-runs.js'
import { isShort } from './order.js'
import { RequestQueue } from './request-queue.js'
import type { AdmissionDecision, RefusalCause, ServiceSpeed, SlotAcquisition, SlotRequest } from './types.js'

/** The slots of the target on this VM, and the queue of requests for them and for the rate limit that the target names. */
export class Slots {
  private readonly clock: Clock
  private readonly rateLimit: RateLimit
  private readonly queue: RequestQueue
  private readonly loneRuns: LoneRuns
  private runningCount = 0
  private runningWorkMs = 0
  private slotLimit = 1
  private speed: ServiceSpeed = { slowness: 1, usualSlowness: 1, expectedSlowMs: 0 }
  private meanWorkMs = 0
  private accepting = true
  /** Fires when the rate limit lets the next queued request through. */
  private rateTimer: Timeout | undefined

  private constructor ({ clock, rateLimit = RateLimit.create({ clock }) }: SlotsOptions) {
    this.clock = clock
    this.rateLimit = rateLimit
    const createRefusal = (cause: RefusalCause): AdmissionDecision => this.createRefusal(cause)
    this.queue = RequestQueue.create({ clock, createRefusal })
    this.loneRuns = LoneRuns.create({ clock, createRefusal, onTurnEnd: () => { this.startNext() } })
  }

  static create (options: SlotsOptions): Slots {
    return new Slots(options)
  }

  /** Number of requests that run now. */
  get running (): number {
    return this.runningCount
  }

  /** Number of slots that other requests can't get now: all while the target is kept free for a request that runs alone. */
  get taken (): number {
    return this.loneRuns.blocking ? this.slotLimit : this.runningCount
  }

  /** Number of requests in the queue. */
  get waiting (): number {
    return this.queue.length + this.loneRuns.waiting
  }

  /** Whether queued requests wait for a slot or for the usual speed, which answers of the target report; not for the rate limit alone. */
  get waitsForTarget (): boolean {
    return this.queue.length > 0 && (this.runningCount >= this.slotLimit || this.slow)
  }

  /** Maximum number of requests that run at the same time. */
  get limit (): number {
    return this.slotLimit
  }

  /** Whether work at present takes much longer than usual. */
  get slow (): boolean {
    return isSlow(this.speed)
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
    this.refuseQueued('closed')
  }

  /** Requests a slot; it is granted or refused immediately unless the request has to be queued. */
  acquire (request: SlotRequest): SlotAcquisition {
    const now = this.clock.now()
    this.meanWorkMs += (request.workMs - this.meanWorkMs) * (this.meanWorkMs === 0 ? 1 : meanWorkWeight)
    const cause = this.findRefusalCause(request, now)
    if (cause !== undefined) return createDecidedAcquisition(this.createRefusal(cause))
    if (!this.canStart || isHeld(request.workMs, this.work)) return this.enqueue(request, now)
    this.occupy(request)
    return createDecidedAcquisition({ kind: 'admitted', waitedMs: 0 })
  }

  /**
   * Requests the whole target for a request that must not run beside others. It is refused if it would have to wait too long, also if
   * the requests that run do not end soon.
   */
  acquireAlone (request: SlotRequest): SlotAcquisition {
    const maxWaitMs = request.deadlineAt - this.clock.now() - request.workMs
    const cause = this.findLoneRefusalCause(request, maxWaitMs)
    if (cause !== undefined) return createDecidedAcquisition(this.createRefusal(cause))
    const { decision, cancel } = this.loneRuns.add(request, maxWaitMs)
    this.startNext()
    return { decision, waitsForRate: false, cancel }
  }

  /** Releases the slot that was acquired for `request`. */
  release (request: SlotRequest): void {
    this.runningCount--
    this.runningWorkMs -= request.workMs
    this.loneRuns.release(request)
    this.startNext()
  }

  /** Refuses all queued requests, while later ones are accepted. */
  refuseQueued (cause: RefusalCause): void {
    this.queue.refuseAll(cause)
    this.loneRuns.refuseAll(cause)
  }

  /** Expected milliseconds until a request that comes back can start, after all that are queued now. */
  estimateRetryAfterMs (): number {
    return Math.max(estimateWaitMs(this.queue.workMs, this.work), Math.min(this.rateLimit.computeWaitMs(this.queue.length), maxRetryAfterMs))
  }

  /** Whether a request that arrives now can start: a slot is free, the rate limit lets it through, and none is queued. */
  private get canStart (): boolean {
    return this.runningCount < this.slotLimit && this.queue.length === 0 && !this.loneRuns.blocking && this.rateLimit.allowance >= 1
  }

  /** What runs now and how fast, for forecasts. */
  private get work (): TargetWork {
    const { running, runningWorkMs, limit, meanWorkMs, speed } = this
    return { running, runningWorkMs, limit, meanWorkMs, speed }
  }

  /** Why a request that arrives now is refused; undefined if it may start or be queued. */
  private findRefusalCause (request: SlotRequest, now: number): RefusalCause | undefined {
    if (!this.accepting) return 'closed'
    const remainingMs = request.deadlineAt - now
    if (remainingMs <= 0) return 'expired'
    if (!request.mayWait && this.slow) return 'slow'
    if (!request.mayWait && this.rateLimit.computeWaitMs(this.queue.length) > 0) return 'rate-limited'
    // A free slot is always used, since the estimates of work and waits may be wrong.
    if (this.canStart) return undefined
    const context = createOrderingContext(this.work, now)
    if (this.queue.length >= this.slotLimit * maxQueuedPerSlot && !isShort(request, context)) return 'overloaded'
    const ahead = this.queue.listAhead(request, context)
    const aheadMs = ahead.reduce((sum, { workMs }) => sum + workMs, 0)
    const maxWaitMs = computeMaxWaitMs(request, context)
    if (this.rateLimit.computeWaitMs(ahead.length) > maxWaitMs) return 'rate-limited'
    return estimateWaitMs(aheadMs, this.work) > maxWaitMs ? 'overloaded' : undefined
  }

  /** The same for a request that has to run alone, and may wait for `maxWaitMs`. */
  private findLoneRefusalCause ({ workMs }: SlotRequest, maxWaitMs: number): RefusalCause | undefined {
    if (!this.accepting) return 'closed'
    if (maxWaitMs <= 0) return 'expired'
    // Others get as much time as each request that runs alone.
    const expectedWaitMs = 2 * this.loneRuns.waiting * workMs
    return expectedWaitMs > maxWaitMs ? 'overloaded' : undefined
  }

  private enqueue (request: SlotRequest, now: number): SlotAcquisition {
    const waitsForRate = this.rateLimit.computeWaitMs(this.queue.length) > 0
    // A request that can no longer finish in time is refused at that time, not at its deadline.
    const { decision, cancel } = this.queue.add(request, now, computeMaxWaitMs(request, createOrderingContext(this.work, now)))
    // This request can start immediately if a slot is free and all requests ahead of it are held back.
    this.startNext()
    this.refusePassed(now)
    return { decision, waitsForRate, cancel }
  }

  /** Refuses the queued requests that the rate limit now lets through too late, since others go first. */
  private refusePassed (now: number): void {
    if (this.rateLimit.perSecond === unlimited) return
    const context = createOrderingContext(this.work, now)
    let ahead = 0
    for (const queued of this.queue.listInOrder(context)) {
      if (this.rateLimit.computeWaitMs(ahead) <= computeMaxWaitMs(queued.request, context)) ahead++
      else this.queue.refuse(queued, 'rate-limited')
    }
  }

  private startNext (): void {
    const now = this.clock.now()
    this.rateTimer?.cancel()
    this.startAlone(now)
    while (this.accepting && !this.loneRuns.blocking && this.runningCount < this.slotLimit && this.queue.length > 0) {
      if (this.rateLimit.allowance < 1) return this.awaitRateLimit()
      const { work } = this
      const next = this.queue.takeFirst(createOrderingContext(work, now), ({ workMs }) => isHeld(workMs, work))
      if (next === undefined) return
      this.occupy(next.request)
      next.resolve({ kind: 'admitted', waitedMs: now - next.queuedAt })
    }
  }

  /** Starts the next request that runs alone if it is its turn, the target is idle and the rate limit lets it through. */
  private startAlone (now: number): void {
    const next = this.loneRuns.takeNext(this.runningCount === 0 && this.rateLimit.allowance >= 1)
    if (next === undefined) return
    this.occupy(next.request)
    next.resolve({ kind: 'admitted', waitedMs: now - next.queuedAt })
  }

  /** Starts the next queued request when the rate limit lets it through; a target that takes none has no such time. */
  private awaitRateLimit (): void {
    const waitMs = this.rateLimit.computeWaitMs(0)
    if (waitMs < Infinity) this.rateTimer = this.clock.timerWheel.after(waitMs, () => { this.startNext() })
  }

  private occupy (request: SlotRequest): void {
    this.runningCount++
    this.runningWorkMs += request.workMs
    this.rateLimit.take()
  }

  private createRefusal (cause: RefusalCause): AdmissionDecision {
    return { kind: 'refused', cause, retryAfterMs: Math.round(Math.max(this.meanWorkMs, this.estimateRetryAfterMs())) }
  }
}

/** Creates an acquisition that was decided without queueing. */
function createDecidedAcquisition (decision: AdmissionDecision): SlotAcquisition {
  return { decision: Promise.resolve(decision), waitsForRate: false, cancel: () => {} }
}

interface SlotsOptions {
  readonly clock: Clock
  /** The limit that the target names; none by default. */
  readonly rateLimit?: RateLimit
}
