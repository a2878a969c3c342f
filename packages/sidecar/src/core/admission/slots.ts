import type { Clock, Timeout } from 'auburnturn/core/clock'
import { slowFactor } from '../targets/index.js'
import { overdueWaitShare, minRetryAfterMs, maxHoldMs, meanWorkWeight, maxQueuedPerSlot } from './constants.js'
import { compareSlotRequests, isShort } from './order.js'
import type { OrderingContext } from './order.js'
import type { AdmissionDecision, SlotRequest, ServiceSpeed, RefusalCause } from './types.js'

/** A request that waits for a slot. */
interface QueuedRequest {
  readonly request: SlotRequest
  readonly queuedAt: number
  readonly resolve: (decision: AdmissionDecision) => void
  timer: Timeout | undefined
}

/** A place in the queue, for the caller to give up. */
export interface SlotAcquisition {
  readonly decision: Promise<AdmissionDecision>
  /** Leaves the queue; does nothing once decided. */
  cancel (): void
}

/** The slots of the own target, and those who wait for one. */
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

  get running (): number {
    return this.runningCount
  }

  get waiting (): number {
    return this.queue.length
  }

  get limit (): number {
    return this.slotLimit
  }

  /** Whether work takes much longer than is usual at the moment. */
  get slow (): boolean {
    return this.speed.slowness >= this.speed.usualSlowness * slowFactor
  }

  /** Takes the present capacity of the target: how many requests may run, and how fast they do. */
  setCapacity (limit: number, pace: ServiceSpeed): void {
    this.slotLimit = Math.max(1, limit)
    this.speed = pace
    this.startNext()
  }

  /** Refuses what waits and what comes from now on; what runs goes on. */
  close (): void {
    this.accepting = false
    for (const waiting of this.queue.splice(0)) this.refuse(waiting, 'closed')
  }

  /** Asks for a slot; the answer comes at once where nothing has to wait. */
  acquire (applicant: SlotRequest): SlotAcquisition {
    const now = this.clock.now()
    this.meanWorkMs += (applicant.workMs - this.meanWorkMs) * (this.meanWorkMs === 0 ? 1 : meanWorkWeight)
    const cause = this.findRefusalCause(applicant, now)
    if (cause !== undefined) return createDecided(this.createRefusal(cause))
    if (!this.hasFreeSlot || this.isHeld(applicant, now, now)) return this.enqueue(applicant, now)
    this.occupy(applicant)
    return createDecided({ kind: 'admitted', waitedMs: 0 })
  }

  /** Gives a slot back. */
  release (applicant: SlotRequest): void {
    this.runningCount--
    this.runningWorkMs -= applicant.workMs
    this.startNext()
  }

  /** Refuses every waiting request, as after a pause of this process: nobody knows how old they are. */
  refuseWaiting (): void {
    for (const waiting of this.queue.splice(0)) this.refuse(waiting, 'expired')
  }

  private get hasFreeSlot (): boolean {
    return this.runningCount < this.slotLimit && this.queue.length === 0
  }

  /** Milliseconds until a request that comes now may start, when `ahead` milliseconds of work go first. */
  private estimateWaitMs (ahead: number): number {
    const halfOfRunning = this.runningCount === 0 ? 0 : this.runningWorkMs / this.runningCount / 2
    const { slowness } = this.createOrderingContext(0)
    const holdMs = this.isHoldingWork ? this.speed.expectedSlowMs : 0
    return holdMs + (halfOfRunning / Math.max(1, Math.min(this.runningCount, this.slotLimit)) + ahead / this.slotLimit) * slowness
  }

  /** Work that starts while the target is slow takes long to its end: it is better to wait, unless that takes longer. */
  private get isHoldingWork (): boolean {
    return this.slow && this.gainsFromHolding(this.meanWorkMs)
  }

  /** Whether work gains more from the usual pace than the wait for it takes. */
  private gainsFromHolding (workMs: number): boolean {
    const { slowness, usualSlowness: usual, expectedSlowMs: slowMs } = this.speed
    return workMs * (slowness - usual) > slowMs
  }

  /** Whether a request that has waited since `since` waits on for the usual speed. */
  private isHeld ({ workMs, deadlineAt: endsAt }: SlotRequest, since: number, now: number): boolean {
    if (!this.isHoldingWork || !this.gainsFromHolding(workMs)) return false
    const endsInTime = now + workMs * this.speed.slowness <= endsAt
    return now - since < maxHoldMs || !endsInTime
  }

  private findRefusalCause (applicant: SlotRequest, now: number): RefusalCause | undefined {
    if (!this.accepting) return 'closed'
    const left = applicant.deadlineAt - now
    if (left <= 0) return 'expired'
    if (!applicant.mayWait && this.slow) return 'slow'
    // An estimate is no reason to leave a slot empty.
    if (this.hasFreeSlot) return undefined
    const moment = this.createOrderingContext(now)
    if (this.queue.length >= this.slotLimit * maxQueuedPerSlot && !isShort(applicant, moment)) return 'overloaded'
    const ahead = this.queue.reduce((sum, { request: other }) => compareSlotRequests(other, applicant, moment) <= 0 ? sum + other.workMs : sum, 0)
    return this.estimateWaitMs(ahead) > this.maxWaitMs(applicant, now) ? 'overloaded' : undefined
  }

  private createOrderingContext (now: number): OrderingContext {
    const { slowness, usualSlowness: usual } = this.speed
    // What is held back starts at the usual pace.
    return { now, slowness: this.isHoldingWork ? usual : slowness, meanWorkMs: this.meanWorkMs }
  }

  /**
   * For how long a request may wait: until its answer loses worth and some time on, and never so long that its end
   * is missed. Quick ones wait to their end: mostly a running request needs their answer, late or not.
   */
  private maxWaitMs (applicant: SlotRequest, now: number): number {
    const { workMs, objectiveAt: wantedBy, deadlineAt: endsAt } = applicant
    const moment = this.createOrderingContext(now)
    const work = workMs * moment.slowness
    if (isShort(applicant, moment)) return endsAt - now - work
    const timely = Math.max(0, wantedBy - now - work)
    return Math.min(endsAt - now - work, timely + (endsAt - now) * overdueWaitShare)
  }

  private enqueue (applicant: SlotRequest, now: number): SlotAcquisition {
    let leave = (): void => {}
    const admittance = new Promise<AdmissionDecision>(resolve => {
      const waiting: QueuedRequest = { request: applicant, queuedAt: now, resolve: resolve, timer: undefined }
      const drop = (cause: RefusalCause): void => {
        const index = this.queue.indexOf(waiting)
        if (index < 0) return
        this.queue.splice(index, 1)
        this.refuse(waiting, cause)
      }
      // What can no longer be done in its time is refused then, and not at its end.
      waiting.timer = this.clock.wheel.after(Math.max(0, this.maxWaitMs(applicant, now)), () => { drop('expired') })
      leave = () => { drop('left') }
      this.queue.push(waiting)
    })
    // Others may be held back while this one need not wait.
    this.startNext()
    return { decision: admittance, cancel: () => { leave() } }
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

  /** The request to start next; undefined when all wait for the usual speed. */
  private dequeueNext (now: number): QueuedRequest | undefined {
    const moment = this.createOrderingContext(now)
    let first: QueuedRequest | undefined
    for (const waiting of this.queue) {
      if (this.isHeld(waiting.request, waiting.queuedAt, now)) continue
      if (first === undefined || compareSlotRequests(waiting.request, first.request, moment) < 0) first = waiting
    }
    if (first !== undefined) this.queue.splice(this.queue.indexOf(first), 1)
    return first
  }

  private occupy (applicant: SlotRequest): void {
    this.runningCount++
    this.runningWorkMs += applicant.workMs
  }

  private refuse (waiting: QueuedRequest, cause: RefusalCause): void {
    waiting.timer?.cancel()
    waiting.resolve(this.createRefusal(cause))
  }

  private createRefusal (cause: RefusalCause): AdmissionDecision {
    const queued = this.queue.reduce((sum, { request: applicant }) => sum + applicant.workMs, 0)
    return { kind: 'refused', cause, retryAfterMs: Math.max(minRetryAfterMs, Math.round(this.estimateWaitMs(queued))) }
  }
}

function createDecided (admittance: AdmissionDecision): SlotAcquisition {
  return { decision: Promise.resolve(admittance), cancel: () => {} }
}
