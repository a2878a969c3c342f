import type { Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Serve } from '../http/index.js'
import type { Metrics } from '../metrics/index.js'
import { notRun } from '../verdict/index.js'
import { AnswerWithTriedTargets, formatTriedTargets, recordAttempt } from './tried-targets.js'

/** Time after the last deadline until calls in flight count as stuck, in milliseconds. */
const stuckCallGraceMs = 1_000

/** Where an attempt goes: to the own upstream, or to the node beside another target. */
export type Destination = 'upstream' | 'peer'

/** What became of the time of one call. Times are clock milliseconds. */
interface CallTimes {
  /** When the node last got hold of the call: its start, or the end of its last attempt. */
  inNodeSince: number
  queuedMs: number
  attemptsMs: number
  attempts: number
}

/** Knows every call in flight on this node: counts and times them, and lets them end before a close. */
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
    metrics.show('in_flight', 'gauge', () => this.timesByCallId.size)
  }

  static create ({ clock, metrics }: { clock: Clock, metrics: Metrics }): CallTracker {
    return new CallTracker(clock, metrics)
  }

  /** Counts and times every call that `serve` takes; refuses it as not run after `refuse`. */
  track (serve: Serve): Serve {
    return async (call, body, answer) => {
      // Whether a call with a ticket ran is for the target to say, not for the door.
      if (this.closing && call.ticket === undefined) return this.countOutcome({ verdict: notRun('admission-closed') })
      const start = this.clock.now()
      const times: CallTimes = { inNodeSince: start, queuedMs: 0, attemptsMs: 0, attempts: 0 }
      this.timesByCallId.set(call.id, times)
      this.latestDeadline = Math.max(this.latestDeadline, call.deadline)
      try {
        const told = call.way === undefined ? answer : AnswerWithTriedTargets.create(call, answer)
        return this.countOutcome(addTriedTargets(call, await serve(call, body, told)))
      } finally {
        this.recordCallEnd(call, times, this.clock.now() - start)
      }
    }
  }

  /** Times the attempts that `attempt` makes, and notes their targets for a caller that asked. */
  trackAttempt<Rest extends unknown[]> (destination: Destination, attempt: (call: Call, ...rest: Rest) => Promise<Outcome>, getTargetId: (first: NoInfer<Rest[0]>) => string): (call: Call, ...rest: Rest) => Promise<Outcome> {
    return async (call, ...rest) => {
      const times = this.timesByCallId.get(call.id)
      const start = this.clock.now()
      this.metrics.count('attempts_total', { destination })
      if (times !== undefined) times.attempts++
      if (destination === 'upstream') this.upstreamAttempts++
      if (times !== undefined && destination === 'upstream') times.queuedMs += start - times.inNodeSince
      const noteOutcome = recordAttempt(call, call.way === undefined ? '' : getTargetId(rest[0]))
      try {
        const outcome = await attempt(call, ...rest)
        noteOutcome(outcome)
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

  /** Refuses every new call from now on. */
  refuseNewCalls (): void {
    this.closing = true
  }

  /** Resolves when nothing runs on the own upstream, or when the last deadline has passed. */
  async waitUntilUpstreamIdle (): Promise<void> {
    await this.waitUntil(() => this.upstreamAttempts === 0)
  }

  /** Resolves when no call is in flight, or when the last deadline has passed. */
  async waitUntilIdle (): Promise<void> {
    await this.waitUntil(() => this.timesByCallId.size === 0)
  }

  dump (): unknown {
    return { inFlight: this.timesByCallId.size, refusing: this.closing }
  }

  private async waitUntil (isIdle: () => boolean): Promise<void> {
    if (isIdle()) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        cancel()
        this.waiters.delete(check)
        resolve()
      }
      const check = (): void => { if (isIdle()) finish() }
      const cancel = this.clock.after(this.latestDeadline - this.clock.now() + stuckCallGraceMs, finish)
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
    this.metrics.record('call_seconds', totalMs)
    this.metrics.record('call_queue_seconds', queuedMs)
    this.metrics.record('call_added_seconds', totalMs - attemptsMs - queuedMs)
    if (attempts > 1) this.metrics.count('retries_total', {}, attempts - 1)
    this.notifyWaiters()
  }
}

function addTriedTargets (call: Call, outcome: Outcome): Outcome {
  const way = formatTriedTargets(call)
  return way === undefined ? outcome : { ...outcome, way }
}
