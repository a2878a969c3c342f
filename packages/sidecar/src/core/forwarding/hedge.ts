import { Cancellation } from 'auburnturn/core/clock'
import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Job, Outcome } from '../requests/index.js'
import type { Candidate } from '../targets/index.js'
import { unresponsiveAfterMs } from '../targets/index.js'
import { hedgeCheckIntervalMs, hedgeWorkFactor } from './constants.js'

/** State on which the decision to hedge an overdue request is based. */
export interface HedgeConditions {
  readonly job: Job
  /** Expected work time at usual speed, in milliseconds. */
  readonly workMs: number
  /** Current state of the target that has the request; undefined when it was removed. */
  readonly current: Candidate | undefined
  /** Best target that has not been tried. */
  readonly alternative: Candidate
  /** Current time in clock milliseconds. */
  readonly now: number
}

/**
 * Computes when to first check a request that has no answer yet: the latest time at which another target can still
 * answer within the objective.
 */
export function computeFirstCheckAt (job: Job, workMs: number): number {
  return job.objectiveAt - workMs * hedgeWorkFactor
}

/**
 * Whether the first target was removed, is down or its node is unresponsive, while another target has capacity and is
 * expected to answer before the deadline.
 */
export function shouldHedge ({ job, workMs, current, alternative, now }: HedgeConditions): boolean {
  if (alternative.running + alternative.waiting >= alternative.limit || alternative.rateWaitMs > 0 || alternative.reportAgeMs > unresponsiveAfterMs) return false
  const unreachable = current === undefined || current.state === 'down' || current.reportAgeMs > unresponsiveAfterMs
  return unreachable && now + workMs * alternative.slowness <= job.deadlineAt
}

/**
 * Calls `findTarget` repeatedly while an attempt is in flight, until it returns a target to hedge on. Returns undefined
 * when the attempt ends or the deadline passes first.
 */
export async function awaitHedgeTarget (attempt: Promise<Outcome>, { clock, firstCheckAt, deadlineAt, findTarget }: HedgeWaitOptions): Promise<Candidate | undefined> {
  let waitMs = Math.max(hedgeCheckIntervalMs, firstCheckAt - clock.now())
  while (clock.now() + waitMs < deadlineAt) {
    if (await endsWithin(attempt, waitMs, clock)) return undefined
    const target = findTarget()
    if (target !== undefined) return target
    waitMs = hedgeCheckIntervalMs
  }
  return undefined
}

/**
 * Returns the first outcome that is an answer below 500. Without one, prefers any answer, then an outcome that says the
 * request may have run. Cancels the other attempts.
 */
export async function awaitFirstSuccess (attempts: ReadonlyArray<Promise<Outcome>>, cancellations: readonly Cancellation[]): Promise<Outcome> {
  const outcome = await new Promise<Outcome>((resolve, reject) => {
    const failed: Outcome[] = []
    for (const attempt of attempts) {
      attempt.then(result => {
        if (result.kind === 'answer' && result.status < 500) return resolve(result)
        failed.push(result)
        if (failed.length === attempts.length) resolve(failed.find(({ kind }) => kind === 'answer') ?? failed.find(({ kind }) => kind === 'may-have-run') ?? result)
      }, reject)
    }
  })
  for (const cancellation of cancellations) cancellation.abort()
  return outcome
}

/** Creates a cancellation that is also aborted when `signal` is. */
export function createLinkedCancellation (signal: CancelSignal): Cancellation {
  const cancellation = Cancellation.create()
  if (signal.aborted) cancellation.abort()
  signal.addEventListener('abort', () => { cancellation.abort() }, { once: true })
  return cancellation
}

/** Whether an attempt ends within a time. */
async function endsWithin (attempt: Promise<Outcome>, milliseconds: number, clock: Clock): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const timer = clock.timerWheel.after(milliseconds, () => { resolve(false) })
    attempt.then(() => {
      timer.cancel()
      resolve(true)
    }, reject)
  })
}

/** How to wait for a hedge. Times are clock milliseconds. */
interface HedgeWaitOptions {
  readonly clock: Clock
  readonly firstCheckAt: number
  readonly deadlineAt: number
  /** Returns the target to hedge on, if a hedge is useful now. */
  readonly findTarget: () => Candidate | undefined
}
