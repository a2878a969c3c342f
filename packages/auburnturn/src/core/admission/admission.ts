import type { Call, Load } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { NotRunCause } from '../verdict/index.js'
import { classRank, minRemainingShare } from './constants.js'
import { Limiter } from './limiter.js'
import type { AdmissionDecision, Waiter } from './types.js'
import { WaitQueue } from './wait-queue.js'

/** Limits the calls that run concurrently on one upstream, and holds a short queue of waiting calls. */
export class Admission {
  private readonly clock: Clock
  private readonly queue = WaitQueue.create()
  /** Waiting calls that are suspected of crashing the upstream; each runs while no other call does. */
  private readonly suspects: Waiter[] = []
  private readonly runningByCaller = new Map<string, number>()
  private readonly limiter = Limiter.create(20)
  private readonly refusalCounts: Partial<Record<NotRunCause, number>> = {}
  private running = 0
  private suspectRunning = false
  private state: Load['state']

  private constructor (clock: Clock, state: Load['state']) {
    this.clock = clock
    this.state = state
  }

  /** Creates an admission that accepts calls immediately, unless `state` is `starting`. */
  static create ({ clock, state = 'serving' }: { clock: Clock, state?: Load['state'] }): Admission {
    return new Admission(clock, state)
  }

  /** Resolves when the call may run or is refused. A refused call did not run. */
  async admit (call: Call): Promise<AdmissionDecision> {
    this.limiter.setSlots(call.profile.admission.slots)
    const cause = this.findRefusalCause(call)
    if (cause !== undefined) return this.refuse(cause)
    if (this.hasFreeSlot() && this.queue.length === 0) return this.grantSlot(call.caller)
    if (this.suspectRunning || this.suspects.length > 0) return this.refuse('overloaded')
    return await this.waitForSlot(call, call.profile.admission.queue)
  }

  /** Like `admit`, for a call that may crash its upstream: the call runs while no other call does. */
  async admitAlone (call: Call): Promise<AdmissionDecision> {
    const cause = this.findRefusalCause(call)
    if (cause !== undefined) return this.refuse(cause)
    if (this.suspects.length >= call.profile.admission.queue) return this.refuse('overloaded')
    return await this.waitAlone(call)
  }

  /**
   * Whether a call could run immediately with less than `share` of the limit in use. The router then runs its call here
   * without considering other targets.
   */
  isLoadBelow (share: number): boolean {
    return this.hasFreeSlot() && this.queue.length === 0 && this.running < this.limiter.limit * share
  }

  /** The load to report. While a suspect runs or waits to run alone, every slot counts as in use. */
  get load (): Load {
    const reserved = this.suspectRunning || this.suspects.length > 0
    return { running: reserved ? this.limiter.limit : this.running, queued: this.queue.length + this.suspects.length, limit: this.limiter.limit, state: this.state }
  }

  /** Accepts new calls again. */
  open (): void {
    this.state = 'serving'
  }

  /** Refuses new and queued calls from now on. Running calls continue. */
  drain (): void {
    this.state = 'draining'
    for (const waiter of [...this.queue.clear(), ...this.suspects.splice(0)]) waiter.settle(this.refuse('admission-closed'))
  }

  /** Refuses every waiting call whose deadline has passed. Used after a pause of this process. */
  refuseExpired (): void {
    const now = this.clock.now()
    const kept: Waiter[] = []
    for (const waiter of this.queue.clear()) {
      if (waiter.deadline <= now) waiter.settle(this.refuse('deadline-expired'))
      else kept.push(waiter)
    }
    for (const waiter of kept) this.queue.push(waiter)
  }

  dump (): unknown {
    return { ...this.load, alone: this.suspectRunning, typicalMs: this.limiter.typicalMs, refused: this.refusalCounts, callers: Object.fromEntries(this.runningByCaller) }
  }

  /** The cause for which a call is refused without queuing; undefined when it may run or wait. */
  private findRefusalCause (call: Call): NotRunCause | undefined {
    if (this.state !== 'serving') return 'admission-closed'
    const remainingMs = call.deadline - this.clock.now()
    if (remainingMs <= 0 || call.signal.aborted) return remainingMs <= 0 ? 'deadline-expired' : 'caller-gone'
    return remainingMs < this.estimateAnswerMs() ? 'deadline-expired' : undefined
  }

  /** Minimum time until a call that arrives now has an answer, in milliseconds. */
  private estimateAnswerMs (): number {
    const { typicalMs, limit } = this.limiter
    return typicalMs * (minRemainingShare + this.queue.length / limit)
  }

  /** Whether a call may start now, alongside those that run. */
  private hasFreeSlot (): boolean {
    return this.state === 'serving' && !this.suspectRunning && this.suspects.length === 0 && this.running < this.limiter.limit
  }

  /** Queues a call. When the queue is full, refuses the least preferred of the queued calls and this one. */
  private async waitForSlot (call: Call, maxQueued: number): Promise<AdmissionDecision> {
    return await this.enqueue(call, this.queue, waiter => {
      if (this.queue.length < maxQueued) return this.queue.push(waiter)
      const evicted = maxQueued === 0 ? undefined : this.queue.findEvictable(waiter)
      if (evicted === undefined) return waiter.settle(this.refuse('overloaded'))
      this.queue.remove(evicted)
      this.queue.push(waiter)
      evicted.settle(this.refuse('overloaded'))
    })
  }

  /** Queues a suspect until no other call runs. */
  private async waitAlone (call: Call): Promise<AdmissionDecision> {
    return await this.enqueue(call, { remove: waiter => this.removeSuspect(waiter) }, waiter => {
      this.suspects.push(waiter)
      this.startNext()
    })
  }

  private removeSuspect (waiter: Waiter): boolean {
    const index = this.suspects.indexOf(waiter)
    if (index >= 0) this.suspects.splice(index, 1)
    return index >= 0
  }

  /**
   * Creates a waiter and passes it to `add`. The call is removed from `list` and refused at the waiter's deadline, or when
   * its caller disconnects.
   */
  private async enqueue (call: Call, list: { remove (waiter: Waiter): boolean }, add: (waiter: Waiter) => void): Promise<AdmissionDecision> {
    const now = this.clock.now()
    const deadline = Math.min(call.deadline - this.limiter.typicalMs * minRemainingShare, now + call.profile.timeouts.queueMs)
    return await new Promise<AdmissionDecision>(resolve => {
      const settle = (result: AdmissionDecision): void => {
        cancel()
        call.signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const waiter: Waiter = { caller: call.caller, rank: classRank[call.profile.class], deadline, settle }
      const refuseWaiter = (cause: NotRunCause): void => {
        if (!list.remove(waiter)) return
        settle(this.refuse(cause))
        this.startNext()
      }
      const onAbort = (): void => { refuseWaiter('caller-gone') }
      const cancel = this.clock.after(deadline - now, () => { refuseWaiter('queue-timeout') })
      call.signal.addEventListener('abort', onAbort, { once: true })
      add(waiter)
    })
  }

  private grantSlot (caller: string, isSuspect = false): AdmissionDecision {
    this.running++
    this.suspectRunning = isSuspect
    this.runningByCaller.set(caller, this.countRunning(caller) + 1)
    let holdsSlot = true
    const release = (verdict: { readonly kind: string }, latencyMs: number): void => {
      if (!holdsSlot) return
      holdsSlot = false
      if (verdict.kind === 'done') this.limiter.record(latencyMs, this.running >= this.limiter.limit)
      this.freeSlot(caller)
    }
    return { kind: 'admitted', release }
  }

  private freeSlot (caller: string): void {
    this.running--
    this.suspectRunning = false
    const remaining = this.countRunning(caller) - 1
    if (remaining > 0) this.runningByCaller.set(caller, remaining)
    else this.runningByCaller.delete(caller)
    this.startNext()
  }

  /** Starts queued calls while slots are free. A suspect starts once no other call runs. */
  private startNext (): void {
    const suspect = this.running === 0 ? this.suspects.shift() : undefined
    if (suspect !== undefined) return suspect.settle(this.grantSlot(suspect.caller, true))
    while (this.hasFreeSlot()) {
      const waiter = this.queue.takeNext(caller => this.countRunning(caller))
      if (waiter === undefined) return
      waiter.settle(waiter.deadline <= this.clock.now() ? this.refuse('queue-timeout') : this.grantSlot(waiter.caller))
    }
  }

  private countRunning (caller: string): number {
    return this.runningByCaller.get(caller) ?? 0
  }

  private refuse (cause: NotRunCause): AdmissionDecision {
    this.refusalCounts[cause] = (this.refusalCounts[cause] ?? 0) + 1
    return { kind: 'refused', cause }
  }
}
