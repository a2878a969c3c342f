import type { Clock, Timeout } from 'auburnturn/core/clock'
import { slowFactor } from '../targets/index.js'
import { lateWaitShare, leastRetryAfterMs, maxHoldMs, meanWeight, queueShare } from './constants.js'
import { compareApplicants, isQuick } from './order.js'
import type { Moment } from './order.js'
import type { Admittance, Applicant, Pace, Refusal } from './types.js'

/** A request that waits for a slot. */
interface Waiting {
  readonly applicant: Applicant
  readonly since: number
  readonly decide: (admittance: Admittance) => void
  timer: Timeout | undefined
}

/** A place in the queue, for the caller to give up. */
export interface Application {
  readonly admittance: Promise<Admittance>
  /** Leaves the queue; does nothing once decided. */
  leave (): void
}

/** The slots of the own target, and those who wait for one. */
export class Slots {
  private readonly clock: Clock
  private readonly queue: Waiting[] = []
  private runningCount = 0
  private runningMs = 0
  private limitCount = 1
  private pace: Pace = { slowness: 1, usual: 1, slowMs: 0 }
  private meanWorkMs = 0
  private open = true

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
    return this.limitCount
  }

  /** Whether work takes much longer than is usual at the moment. */
  get slow (): boolean {
    return this.pace.slowness >= this.pace.usual * slowFactor
  }

  /** Takes the present capacity of the target: how many requests may run, and how fast they do. */
  resize (limit: number, pace: Pace): void {
    this.limitCount = Math.max(1, limit)
    this.pace = pace
    this.startNext()
  }

  /** Refuses what waits and what comes from now on; what runs goes on. */
  close (): void {
    this.open = false
    for (const waiting of this.queue.splice(0)) this.refuse(waiting, 'closed')
  }

  /** Asks for a slot; the answer comes at once where nothing has to wait. */
  apply (applicant: Applicant): Application {
    const now = this.clock.now()
    this.meanWorkMs += (applicant.workMs - this.meanWorkMs) * (this.meanWorkMs === 0 ? 1 : meanWeight)
    const cause = this.findObstacle(applicant, now)
    if (cause !== undefined) return decided(this.describeRefusal(cause))
    if (!this.hasRoom || this.isHeld(applicant, now, now)) return this.enqueue(applicant, now)
    this.occupy(applicant)
    return decided({ kind: 'admitted', waitedMs: 0 })
  }

  /** Gives a slot back. */
  release (applicant: Applicant): void {
    this.runningCount--
    this.runningMs -= applicant.workMs
    this.startNext()
  }

  /** Refuses every waiting request, as after a pause of this process: nobody knows how old they are. */
  refuseWaiting (): void {
    for (const waiting of this.queue.splice(0)) this.refuse(waiting, 'expired')
  }

  private get hasRoom (): boolean {
    return this.runningCount < this.limitCount && this.queue.length === 0
  }

  /** Milliseconds until a request that comes now may start, when `ahead` milliseconds of work go first. */
  private expectWait (ahead: number): number {
    const halfOfRunning = this.runningCount === 0 ? 0 : this.runningMs / this.runningCount / 2
    const { slowness } = this.moment(0)
    const holdMs = this.isHolding ? this.pace.slowMs : 0
    return holdMs + (halfOfRunning / Math.max(1, Math.min(this.runningCount, this.limitCount)) + ahead / this.limitCount) * slowness
  }

  /** Work that starts while the target is slow takes long to its end: it is better to wait, unless that takes longer. */
  private get isHolding (): boolean {
    return this.slow && this.isWorthHolding(this.meanWorkMs)
  }

  /** Whether work gains more from the usual pace than the wait for it takes. */
  private isWorthHolding (workMs: number): boolean {
    const { slowness, usual, slowMs } = this.pace
    return workMs * (slowness - usual) > slowMs
  }

  /** Whether a request that has waited since `since` waits on for the usual speed. */
  private isHeld ({ workMs, endsAt }: Applicant, since: number, now: number): boolean {
    if (!this.isHolding || !this.isWorthHolding(workMs)) return false
    const endsInTime = now + workMs * this.pace.slowness <= endsAt
    return now - since < maxHoldMs || !endsInTime
  }

  private findObstacle (applicant: Applicant, now: number): Refusal | undefined {
    if (!this.open) return 'closed'
    const left = applicant.endsAt - now
    if (left <= 0) return 'expired'
    if (!applicant.patient && this.slow) return 'slow'
    // An estimate is no reason to leave a slot empty.
    if (this.hasRoom) return undefined
    const moment = this.moment(now)
    if (this.queue.length >= this.limitCount * queueShare && !isQuick(applicant, moment)) return 'overloaded'
    const ahead = this.queue.reduce((sum, { applicant: other }) => compareApplicants(other, applicant, moment) <= 0 ? sum + other.workMs : sum, 0)
    return this.expectWait(ahead) > this.longestWait(applicant, now) ? 'overloaded' : undefined
  }

  private moment (now: number): Moment {
    const { slowness, usual } = this.pace
    // What is held back starts at the usual pace.
    return { now, slowness: this.isHolding ? usual : slowness, meanWorkMs: this.meanWorkMs }
  }

  /**
   * For how long a request may wait: until its answer loses worth and some time on, and never so long that its end
   * is missed. Quick ones wait to their end: mostly a running request needs their answer, late or not.
   */
  private longestWait (applicant: Applicant, now: number): number {
    const { workMs, wantedBy, endsAt } = applicant
    const moment = this.moment(now)
    const work = workMs * moment.slowness
    if (isQuick(applicant, moment)) return endsAt - now - work
    const timely = Math.max(0, wantedBy - now - work)
    return Math.min(endsAt - now - work, timely + (endsAt - now) * lateWaitShare)
  }

  private enqueue (applicant: Applicant, now: number): Application {
    let leave = (): void => {}
    const admittance = new Promise<Admittance>(resolve => {
      const waiting: Waiting = { applicant, since: now, decide: resolve, timer: undefined }
      const drop = (cause: Refusal): void => {
        const index = this.queue.indexOf(waiting)
        if (index < 0) return
        this.queue.splice(index, 1)
        this.refuse(waiting, cause)
      }
      // What can no longer be done in its time is refused then, and not at its end.
      waiting.timer = this.clock.timerWheel.after(Math.max(0, this.longestWait(applicant, now)), () => { drop('expired') })
      leave = () => { drop('left') }
      this.queue.push(waiting)
    })
    // Others may be held back while this one need not wait.
    this.startNext()
    return { admittance, leave: () => { leave() } }
  }

  private startNext (): void {
    const now = this.clock.now()
    while (this.open && this.runningCount < this.limitCount && this.queue.length > 0) {
      const next = this.takeFirst(now)
      if (next === undefined) return
      next.timer?.cancel()
      this.occupy(next.applicant)
      next.decide({ kind: 'admitted', waitedMs: now - next.since })
    }
  }

  /** The request to start next; undefined when all wait for the usual speed. */
  private takeFirst (now: number): Waiting | undefined {
    const moment = this.moment(now)
    let first: Waiting | undefined
    for (const waiting of this.queue) {
      if (this.isHeld(waiting.applicant, waiting.since, now)) continue
      if (first === undefined || compareApplicants(waiting.applicant, first.applicant, moment) < 0) first = waiting
    }
    if (first !== undefined) this.queue.splice(this.queue.indexOf(first), 1)
    return first
  }

  private occupy (applicant: Applicant): void {
    this.runningCount++
    this.runningMs += applicant.workMs
  }

  private refuse (waiting: Waiting, cause: Refusal): void {
    waiting.timer?.cancel()
    waiting.decide(this.describeRefusal(cause))
  }

  private describeRefusal (cause: Refusal): Admittance {
    const queued = this.queue.reduce((sum, { applicant }) => sum + applicant.workMs, 0)
    return { kind: 'refused', cause, retryAfterMs: Math.max(leastRetryAfterMs, Math.round(this.expectWait(queued))) }
  }
}

function decided (admittance: Admittance): Application {
  return { admittance: Promise.resolve(admittance), leave: () => {} }
}
