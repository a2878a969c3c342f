import type { Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { CallHandler } from '../http/index.js'
import type { Metrics } from '../metrics/index.js'
import { notRun } from '../verdict/index.js'
import { AnswerWithTriedTargets, formatTriedTargets, recordAttempt } from './tried-targets.js'

/** Calls still in flight this long after the latest deadline are considered stuck and not waited for, in milliseconds. */
const stuckCallGraceMs = 1_000

/** Destination of an attempt: the upstream on this VM, or the node of another target. */
export type Destination = 'upstream' | 'peer'

/** How the time of one call is spent. Points in time are clock milliseconds. */
interface CallTimes {
  /** Since when the call has been in this node with no attempt running: its start, or the end of its last attempt. */
  inNodeSince: number
  /** Total time from `inNodeSince` to the start of each attempt on the upstream of this VM; includes the time in the queue. */
  queuedMs: number
  /** Total time during attempts. */
  attemptsMs: number
  attempts: number
}

/** Tracks every call in flight on this node: counts and times calls, and waits for them before a close. */
export class CallTracker {
  private readonly clock: Clock
  private readonly metrics: Metrics
  private readonly timesByCallId = new Map<string, CallTimes>()
  private closing = false
  private latestDeadline = 0
  private upstreamAttempts = 0
  private readonly waiters = new Set<() => void>()

  private constructor (clock: Clock, metrics: Metrics) {
    this.clock = clock
    this.metrics = metrics
    metrics.register('in_flight', 'gauge', () => this.timesByCallId.size)
  }

  static create ({ clock, metrics }: { clock: Clock, metrics: Metrics }): CallTracker {
    return new CallTracker(clock, metrics)
  }

  /** Counts and times every call that `handleCall` handles. After `refuseNewCalls`, refuses calls without a ticket as not run. */
  track (handleCall: CallHandler): CallHandler {
    return async (call, body, answer) => {
      // Calls with a ticket are still handled: only the target can determine whether they already ran.
      if (this.closing && call.ticket === undefined) return this.countOutcome({ verdict: notRun('admission-closed') })
      const start = this.clock.now()
      const times: CallTimes = { inNodeSince: start, queuedMs: 0, attemptsMs: 0, attempts: 0 }
      this.timesByCallId.set(call.id, times)
      this.latestDeadline = Math.max(this.latestDeadline, call.deadline)
      try {
        const answerToCaller = call.triedTargets === undefined ? answer : AnswerWithTriedTargets.create(call, answer)
        return this.countOutcome(addTriedTargets(call, await handleCall(call, body, answerToCaller)))
      } finally {
        this.recordCallEnd(call, times, this.clock.now() - start)
      }
    }
  }

  /** Counts and times attempts, and records their targets if the caller requested them. */
  trackAttempt<Rest extends unknown[]> (destination: Destination, attempt: (call: Call, ...rest: Rest) => Promise<Outcome>, getTargetId: (first: NoInfer<Rest[0]>) => string): (call: Call, ...rest: Rest) => Promise<Outcome> {
    return async (call, ...rest) => {
      const times = this.timesByCallId.get(call.id)
      const start = this.clock.now()
      this.metrics.count('attempts_total', { destination })
      if (times !== undefined) times.attempts++
      if (destination === 'upstream') this.upstreamAttempts++
      if (times !== undefined && destination === 'upstream') times.queuedMs += start - times.inNodeSince
      const recordOutcome = recordAttempt(call, call.triedTargets === undefined ? '' : getTargetId(rest[0]))
      try {
        const outcome = await attempt(call, ...rest)
        recordOutcome(outcome)
        return outcome
      } finally {
        if (destination === 'upstream') this.upstreamAttempts--
        this.notifyWaiters()
        if (times !== undefined) {
          times.inNodeSince = this.clock.now()
          times.attemptsMs += times.inNodeSince - start
        }
      }
    }
  }

  /** Starts to refuse new calls without a ticket. */
  refuseNewCalls (): void {
    this.closing = true
  }

  /** Resolves when no attempt runs on the upstream of this VM, or `stuckCallGraceMs` after the latest deadline. */
  async waitUntilUpstreamIdle (): Promise<void> {
    await this.waitUntil(() => this.upstreamAttempts === 0)
  }

  /** Resolves when no call is in flight, or `stuckCallGraceMs` after the latest deadline. */
  async waitUntilIdle (): Promise<void> {
    await this.waitUntil(() => this.timesByCallId.size === 0)
  }

  dump (): unknown {
    return { inFlight: this.timesByCallId.size, refusing: this.closing }
  }

  private async waitUntil (isIdle: () => boolean): Promise<void> {
    if (isIdle()) return
    await new Promise<void>(resolve => {
      const stopWaiting = (): void => {
        cancel()
        this.waiters.delete(check)
        resolve()
      }
      const check = (): void => { if (isIdle()) stopWaiting() }
      const cancel = this.clock.after(this.latestDeadline - this.clock.now() + stuckCallGraceMs, stopWaiting)
      this.waiters.add(check)
    })
  }

  private notifyWaiters (): void {
    for (const check of this.waiters) check()
  }

  private countOutcome (outcome: Outcome): Outcome {
    const { verdict } = outcome
    this.metrics.count('calls_total', verdict.kind === 'done' ? { verdict: verdict.kind } : { verdict: verdict.kind, cause: verdict.cause })
    return outcome
  }

  private recordCallEnd (call: Call, { queuedMs, attemptsMs, attempts }: CallTimes, totalMs: number): void {
    this.timesByCallId.delete(call.id)
    this.metrics.recordDuration('call_seconds', totalMs)
    this.metrics.recordDuration('call_queue_seconds', queuedMs)
    this.metrics.recordDuration('call_added_seconds', totalMs - attemptsMs - queuedMs)
    if (attempts > 1) this.metrics.count('retries_total', {}, attempts - 1)
    this.notifyWaiters()
  }
}

function addTriedTargets (call: Call, outcome: Outcome): Outcome {
  const tried = formatTriedTargets(call)
  return tried === undefined ? outcome : { ...outcome, triedTargets: tried }
}
