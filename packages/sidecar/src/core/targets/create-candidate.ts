import { computeRateWaitMs } from '../rate-limit/index.js'
import { usableSlotShare } from './constants.js'
import type { OutstandingCounts } from './outstanding-requests.js'
import type { ReceivedReport } from './received-reports.js'
import type { Listing } from './target-list.js'
import type { Candidate } from './types.js'

/** Assumed slowness of a target without a recent report; 1 is as usual. */
const unreportedSlowness = 1.5

/** Creates the candidate of a listed target whose node has reported recently; `now` is in clock milliseconds. */
export function createListedCandidate ({ target, coldUntil }: Listing, recent: ReceivedReport, counts: OutstandingCounts, now: number): Candidate {
  return { ...createReportedCandidate(target.ip, recent, counts, now), failureDomain: target.failureDomain, cold: coldUntil > now }
}

/**
 * Creates the candidate of a listed target without a recent report: the load is estimated from the requests of this node alone.
 * `reportAgeMs` is Infinity if there is no report, and `now` is in clock milliseconds.
 */
export function createUnreportedCandidate ({ target, coldUntil }: Listing, { underWay }: OutstandingCounts, reportAgeMs: number, now: number): Candidate {
  const { id, service, ip, failureDomain } = target
  const limit = Math.max(1, Math.floor(target.slots * usableSlotShare))
  return { id, service, ip, failureDomain, state: 'up', running: underWay, waiting: 0, limit, slowness: unreportedSlowness, cold: coldUntil > now, failures: 0, rateWaitMs: 0, reportAgeMs }
}

/** Creates the candidate of a target that is not listed yet, on the report of the node at `ip` alone. */
export function createUnlistedCandidate (ip: string, received: ReceivedReport, counts: OutstandingCounts, now: number): Candidate {
  return { ...createReportedCandidate(ip, received, counts, now), cold: true }
}

/** Adds the requests of this node that the report can't include to the reported load. */
function createReportedCandidate (ip: string, { report, at }: ReceivedReport, { underWay, unreported }: OutstandingCounts, now: number): Candidate {
  const { id, service, failureDomain, state, running, waiting, limit, slowness, failures } = report
  const rateWaitMs = computeRateWaitMs({ rateLimit: report.rateLimit, rateAllowance: report.rateAllowance - unreported })
  return { id, service, ip, failureDomain, state, running: Math.max(running + unreported, underWay), waiting, limit, slowness, failures, rateWaitMs, cold: false, reportAgeMs: now - at }
}
