import type { Call, Load } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { NotRunCause } from '../verdict/index.js'
import { classRank, minRemainingShare } from './constants.js'
import { Limiter } from './limiter.js'
import type { AdmissionResult, Waiter } from './types.js'
import { WaitQueue } from './wait-queue.js'

/** Slots and a short queue for one upstream. */
export class Admission {
  private readonly clock: Clock
  private readonly queue = WaitQueue.create()
  /** Calls under suspicion, each to run while nothing else does. */
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

  /** Serves at once unless it is created as `starting`. */
  static create ({ clock, state = 'serving' }: { clock: Clock, state?: Load['state'] }): Admission {
    return new Admission(clock, state)
  }

  /** Resolves when the call may run or is refused; a refusal means that it did not run. */
  async admit (call: Call): Promise<AdmissionResult> {
    this.limiter.setSlots(call.profile.admission.slots)
    const cause = this.findRefusalCause(call)
    if (cause !== undefined) return this.refuse(cause)
    if (this.hasFreeSlot() && this.queue.length === 0) return this.grant(call.caller)
    if (this.suspectRunning || this.suspects.length > 0) return this.refuse('overloaded')
    return await this.wait(call, call.profile.admission.queue)
  }

  /** Like `admit`, for a call that may crash its upstream: it runs while nothing else does. */
  async admitAlone (call: Call): Promise<AdmissionResult> {
    const cause = this.findRefusalCause(call)
    if (cause !== undefined) return this.refuse(cause)
    if (this.suspects.length >= call.profile.admission.queue) return this.refuse('overloaded')
    return await this.waitAlone(call)
  }

  /** Whether a call that enters here may run here without a look at other targets. */
  isBelowShare (share: number): boolean {
    return this.hasFreeSlot() && this.queue.length === 0 && this.running < this.limiter.limit * share
  }

  /** While a suspect runs or waits to run alone, every slot counts as taken. */
  get load (): Load {
    const reserved = this.suspectRunning || this.suspects.length > 0
    return { running: reserved ? this.limiter.limit : this.running, queued: this.queue.length + this.suspects.length, limit: this.limiter.limit, state: this.state }
  }

  /** Takes new work again. */
  open (): void {
    this.state = 'serving'
  }

  /** Refuses new and queued work from now on; what runs goes on. */
  drain (): void {
    this.state = 'draining'
    for (const waiter of [...this.queue.clear(), ...this.suspects.splice(0)]) waiter.resolve(this.refuse('admission-closed'))
  }

  /** Refuses every waiting call whose deadline has passed, as after a pause of this process. */
  refuseExpired (): void {
    const now = this.clock.now()
    const kept: Waiter[] = []
    for (const waiter of this.queue.clear()) {
      if (waiter.deadline <= now) waiter.resolve(this.refuse('deadline-expired'))
      else kept.push(waiter)
    }
    for (const waiter of kept) this.queue.push(waiter)
  }

  dump (): unknown {
    return { ...this.load, alone: this.suspectRunning, typicalMs: this.limiter.typicalMs, refused: this.refusalCounts, callers: Object.fromEntries(this.runningByCaller) }
  }

  private findRefusalCause (call: Call): NotRunCause | undefined {
    if (this.state !== 'serving') return 'admission-closed'
    const left = call.deadline - this.clock.now()
    if (left <= 0 || call.signal.aborted) return left <= 0 ? 'deadline-expired' : 'caller-gone'
    return left < this.estimateAnswerMs() ? 'deadline-expired' : undefined
  }

  /** Least time until a call that comes now has an answer. */
  private estimateAnswerMs (): number {
    const { typicalMs, limit } = this.limiter
    return typicalMs * (minRemainingShare + this.queue.length / limit)
  }

  private hasFreeSlot (): boolean {
    return this.state === 'serving' && !this.suspectRunning && this.suspects.length === 0 && this.running < this.limiter.limit
  }

  private async wait (call: Call, room: number): Promise<AdmissionResult> {
    return await this.enqueue(call, this.queue, waiter => {
      if (this.queue.length < room) return this.queue.push(waiter)
      const victim = room === 0 ? undefined : this.queue.findEvictable(waiter)
      if (victim === undefined) return waiter.resolve(this.refuse('overloaded'))
      this.queue.remove(victim)
      this.queue.push(waiter)
      victim.resolve(this.refuse('overloaded'))
    })
  }

  private async waitAlone (call: Call): Promise<AdmissionResult> {
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

  /** Makes a waiter that leaves `list` at its deadline or when its caller does, and hands it to `place`. */
  private async enqueue (call: Call, list: { remove (waiter: Waiter): boolean }, place: (waiter: Waiter) => void): Promise<AdmissionResult> {
    const now = this.clock.now()
    const deadline = Math.min(call.deadline - this.limiter.typicalMs * minRemainingShare, now + call.profile.timeouts.queueMs)
    return await new Promise<AdmissionResult>(resolve => {
      const decide = (admittance: AdmissionResult): void => {
        cancel()
        call.signal.removeEventListener('abort', leave)
        resolve(admittance)
      }
      const waiter: Waiter = { caller: call.caller, rank: classRank[call.profile.class], deadline, resolve: decide }
      const drop = (cause: NotRunCause): void => {
        if (!list.remove(waiter)) return
        decide(this.refuse(cause))
        this.startNext()
      }
      const leave = (): void => { drop('caller-gone') }
      const cancel = this.clock.after(deadline - now, () => { drop('queue-timeout') })
      call.signal.addEventListener('abort', leave, { once: true })
      place(waiter)
    })
  }

  private grant (caller: string, alone = false): AdmissionResult {
    this.running++
    this.suspectRunning = alone
    this.runningByCaller.set(caller, this.countOf(caller) + 1)
    let held = true
    const release = (verdict: { readonly kind: string }, latencyMs: number): void => {
      if (!held) return
      held = false
      if (verdict.kind === 'done') this.limiter.record(latencyMs, this.running >= this.limiter.limit)
      this.leave(caller)
    }
    return { kind: 'admitted', release }
  }

  private leave (caller: string): void {
    this.running--
    this.suspectRunning = false
    const left = this.countOf(caller) - 1
    if (left > 0) this.runningByCaller.set(caller, left)
    else this.runningByCaller.delete(caller)
    this.startNext()
  }

  /** Fills the free slots from the queue; a suspect starts once nothing else runs. */
  private startNext (): void {
    const suspect = this.running === 0 ? this.suspects.shift() : undefined
    if (suspect !== undefined) return suspect.resolve(this.grant(suspect.caller, true))
    while (this.hasFreeSlot()) {
      const waiter = this.queue.takeNext(caller => this.countOf(caller))
      if (waiter === undefined) return
      waiter.resolve(waiter.deadline <= this.clock.now() ? this.refuse('queue-timeout') : this.grant(waiter.caller))
    }
  }

  private countOf (caller: string): number {
    return this.runningByCaller.get(caller) ?? 0
  }

  private refuse (cause: NotRunCause): AdmissionResult {
    this.refusalCounts[cause] = (this.refusalCounts[cause] ?? 0) + 1
    return { kind: 'refused', cause }
  }
}
