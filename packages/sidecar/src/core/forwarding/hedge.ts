import { Cancellation } from 'auburnturn/core/clock'
import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Job, Outcome } from '../own-target/index.js'
import type { Candidate } from '../targets/index.js'
import { silentAfterMs } from '../targets/index.js'
import { hedgeCheckMs, hedgeMargin } from './constants.js'

/** What a late request is judged with. */
export interface Lateness {
  readonly job: Job
  /** Expected work at usual speed, in milliseconds. */
  readonly workMs: number
  /** The target that has the request, as it is now; undefined when it is gone. */
  readonly present: Candidate | undefined
  /** The best target that has not been tried. */
  readonly other: Candidate
  readonly now: number
}

/** When a request that has no answer yet is to be looked at: the last moment for another target to answer in time. */
export function firstLookAt (job: Job, workMs: number): number {
  return job.wantedBy - workMs * hedgeMargin
}

/** Whether the node of the first target is out of reach, and another one has room and is expected to answer in time. */
export function isWorthHedging ({ job, workMs, present, other, now }: Lateness): boolean {
  if (other.running + other.waiting >= other.limit || other.silentMs > silentAfterMs) return false
  const lost = present === undefined || present.state === 'down' || present.silentMs > silentAfterMs
  return lost && now + workMs * other.slowness <= job.endsAt
}

/** Looks at an offer under way until `find` names another target; undefined when the offer has ended before. */
export async function awaitHedge (offer: Promise<Outcome>, { clock, firstLook, endsAt, find }: HedgeWatch): Promise<Candidate | undefined> {
  let waitMs = Math.max(hedgeCheckMs, firstLook - clock.now())
  while (clock.now() + waitMs < endsAt) {
    if (await endsWithin(offer, waitMs, clock)) return undefined
    const other = find()
    if (other !== undefined) return other
    waitMs = hedgeCheckMs
  }
  return undefined
}

/** The first of two outcomes that is a good answer, else the better known of both; the other one is cancelled. */
export async function firstGood (offers: ReadonlyArray<Promise<Outcome>>, lanes: readonly Cancellation[]): Promise<Outcome> {
  const outcome = await new Promise<Outcome>((resolve, reject) => {
    const failed: Outcome[] = []
    for (const offer of offers) {
      offer.then(result => {
        if (result.kind === 'answer' && result.status < 500) return resolve(result)
        failed.push(result)
        if (failed.length === offers.length) resolve(failed.find(({ kind }) => kind === 'answer') ?? failed.find(({ kind }) => kind === 'may-have-run') ?? result)
      }, reject)
    }
  })
  for (const lane of lanes) lane.abort()
  return outcome
}

/** A cancellation of its own that follows another one. */
export function createLane (signal: CancelSignal): Cancellation {
  const lane = Cancellation.create()
  if (signal.aborted) lane.abort()
  signal.addEventListener('abort', () => { lane.abort() }, { once: true })
  return lane
}

async function endsWithin (offer: Promise<Outcome>, milliseconds: number, clock: Clock): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const timer = clock.timerWheel.after(milliseconds, () => { resolve(false) })
    offer.then(() => {
      timer.cancel()
      resolve(true)
    }, reject)
  })
}

/** How an offer is watched. Times are clock milliseconds. */
interface HedgeWatch {
  readonly clock: Clock
  readonly firstLook: number
  readonly endsAt: number
  /** The target to ask as well, if that is worth it now. */
  readonly find: () => Candidate | undefined
}
