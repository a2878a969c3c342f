import type { Call, Outcome } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { CallHandler } from '../http/index.js'
import type { Metrics } from '../metrics/index.js'
import { notRun } from '../verdict/index.js'
import { AnswerWithWay, formatWay, noteAttempt } from './way.js'

/** Time after the last deadline until calls in flight count as stuck, in milliseconds. */
const graceMs = 1_000

/** Where an attempt goes: to the own upstream, or to the node beside another target. */
export type Destination = 'upstream' | 'peer'

/** What became of the time of one call. Times are clock milliseconds. */
interface Times {
  /** When the node last got hold of the call: its start, or the end of its last attempt. */
  heldSince: number
  queuedMs: number
  outsideMs: number
  attempts: number
}

/** Knows every call in flight on this node: counts and times them, and lets them end before a close. */
export class CallTracker {
  private readonly clock: Clock
  private readonly metrics: Metrics
  private readonly calls = new Map<string, Times>()
  private closing = false
  private latestDeadline = 0
  private upstreamAttempts = 0
  private readonly waiting = new Set<() => void>()

  private constructor (clock: Clock, metrics: Metrics) {
    this.clock = clock
    this.metrics = metrics
    metrics.register('in_flight', 'gauge', () => this.calls.size)
  }

  static create ({ clock, metrics }: { clock: Clock, metrics: Metrics }): CallTracker {
    return new CallTracker(clock, metrics)
  }

  /** Counts and times every call that `serve` takes; refuses it as not run after `refuse`. */
  track (serve: CallHandler): CallHandler {
    return async (call, body, answer) => {
      // Whether a call with a ticket ran is for the target to say, not for the door.
      if (this.closing && call.ticket === undefined) return this.count({ verdict: notRun('admission-closed') })
      const start = this.clock.now()
      const times: Times = { heldSince: start, queuedMs: 0, outsideMs: 0, attempts: 0 }
      this.calls.set(call.id, times)
      this.latestDeadline = Math.max(this.latestDeadline, call.deadline)
      try {
        const told = call.triedTargets === undefined ? answer : AnswerWithWay.create(call, answer)
        return this.count(withWay(call, await serve(call, body, told)))
      } finally {
        this.finish(call, times, this.clock.now() - start)
      }
    }
  }

  /** Times the attempts that `attempt` makes, and notes their targets for a caller that asked. */
  trackAttempt<Rest extends unknown[]> (destination: Destination, attempt: (call: Call, ...rest: Rest) => Promise<Outcome>, nameTarget: (first: NoInfer<Rest[0]>) => string): (call: Call, ...rest: Rest) => Promise<Outcome> {
    return async (call, ...rest) => {
      const times = this.calls.get(call.id)
      const start = this.clock.now()
      this.metrics.count('attempts_total', { destination })
      if (times !== undefined) times.attempts++
      if (destination === 'upstream') this.upstreamAttempts++
      if (times !== undefined && destination === 'upstream') times.queuedMs += start - times.heldSince
      const noteOutcome = noteAttempt(call, call.triedTargets === undefined ? '' : nameTarget(rest[0]))
      try {
        const outcome = await attempt(call, ...rest)
        noteOutcome(outcome)
        return outcome
      } finally {
        if (destination === 'upstream') this.upstreamAttempts--
        this.wake()
        if (times !== undefined) {
          times.heldSince = this.clock.now()
          times.outsideMs += times.heldSince - start
        }
      }
    }
  }

  /** Refuses every new call from now on. */
  refuse (): void {
    this.closing = true
  }

  /** Resolves when nothing runs on the own upstream, or when the last deadline has passed. */
  async settleUpstream (): Promise<void> {
    await this.waitUntil(() => this.upstreamAttempts === 0)
  }

  /** Resolves when no call is in flight, or when the last deadline has passed. */
  async settle (): Promise<void> {
    await this.waitUntil(() => this.calls.size === 0)
  }

  dump (): unknown {
    return { inFlight: this.calls.size, refusing: this.closing }
  }

  private async waitUntil (isSettled: () => boolean): Promise<void> {
    if (isSettled()) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        cancel()
        this.waiting.delete(check)
        resolve()
      }
      const check = (): void => { if (isSettled()) finish() }
      const cancel = this.clock.after(this.latestDeadline - this.clock.now() + graceMs, finish)
      this.waiting.add(check)
    })
  }

  private wake (): void {
    for (const check of this.waiting) check()
  }

  private count (outcome: Outcome): Outcome {
    const { verdict } = outcome
    this.metrics.count('calls_total', verdict.kind === 'done' ? { verdict: verdict.kind } : { verdict: verdict.kind, cause: verdict.cause })
    return outcome
  }

  private finish (call: Call, { queuedMs, outsideMs, attempts }: Times, totalMs: number): void {
    this.calls.delete(call.id)
    this.metrics.recordDuration('call_seconds', totalMs)
    this.metrics.recordDuration('call_queue_seconds', queuedMs)
    this.metrics.recordDuration('call_added_seconds', totalMs - outsideMs - queuedMs)
    if (attempts > 1) this.metrics.count('retries_total', {}, attempts - 1)
    this.wake()
  }
}

function withWay (call: Call, outcome: Outcome): Outcome {
  const way = formatWay(call)
  return way === undefined ? outcome : { ...outcome, triedTargets: way }
}
