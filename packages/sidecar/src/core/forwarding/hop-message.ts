import { asDurationMs, asNonNegativeNumber, maxDurationMs } from '../decoding/index.js'
import type { Frame } from '../peer-calls/index.js'
import { formatEvidence, mayHaveRun, parseEvidence } from '../requests/index.js'
import type { Job, MayHaveRunCause, NotRunCause, Outcome } from '../requests/index.js'
import { areHeaders, isMethod, isPath, parseStatus } from './head-checks.js'

const emptyBody = Buffer.alloc(0)

/** All causes of outcomes. The type makes it complete: an outcome of another cause is not believed. */
const notRunCauses: Readonly<Record<NotRunCause, true>> = {
  closed: true, overloaded: true, 'rate-limited': true, slow: true, expired: true, left: true, moved: true, unreachable: true, rejected: true, 'no-memory': true, 'no-target': true, 'no-configuration': true, 'no-budget': true, quarantined: true, suspect: true
}
const mayHaveRunCauses: Readonly<Record<MayHaveRunCause, true>> = { reset: true, cut: true, invalid: true, foreign: true, timeout: true, left: true, crashed: true, unproven: true }

/** First field of a call that asks the node to run a request on the target of its VM. */
const runKind = 'run'

/** Number of fields of a request before its headers. */
const requestFields = 13

/** A request from another node, and the only target that may run it. */
export interface ReceivedRequest {
  readonly job: Job
  /** Id of the incarnation of the target. */
  readonly target: string
}

/**
 * Encodes a request for the node on the VM of a target. Points in time become the time that remains, since clocks of nodes
 * differ.
 */
export function formatRequest (job: Job, target: string, now: number): Frame {
  const { method, path, id, caller, route, priority, objectiveMs, idempotent, mayWait, headers, body } = job
  const fields = [
    runKind, method, path, id, caller, target,
    // Names of routes may contain any character.
    encodeURIComponent(route),
    String(Math.floor(job.deadlineAt - now)), String(Math.round(job.objectiveAt - now)),
    String(priority), String(objectiveMs), formatFlag(idempotent), formatFlag(mayWait),
    ...headers
  ]
  return { fields, body }
}

/** Decodes a request that arrived at `now`; undefined when it is damaged. `service` is that of the target on this VM. */
export function parseRequest ({ fields, body }: Frame, service: string, now: number): ReceivedRequest | undefined {
  if (fields[0] !== runKind || fields.length < requestFields) return undefined
  const [, method, path, id, caller, target, route] = fields as [string, string, string, string, string, string, string]
  const [remainingMs, objectiveRemainingMs, priority, objectiveMs] = fields.slice(7, 11).map(Number) as [number, number, number, number]
  const routeName = decodeRoute(route)
  const headers = fields.slice(requestFields)
  if (![remainingMs, objectiveRemainingMs].every(Number.isFinite) || routeName === undefined) return undefined
  if (asNonNegativeNumber(priority) === undefined || asNonNegativeNumber(objectiveMs) === undefined) return undefined
  if (!isMethod(method) || !isPath(path) || !areHeaders(headers)) return undefined
  const job: Job = {
    id,
    method,
    path,
    headers,
    body,
    route: routeName,
    service,
    caller,
    idempotent: parseFlag(fields[11]),
    objectiveMs,
    priority,
    mayWait: parseFlag(fields[12]),
    objectiveAt: now + limitDuration(objectiveRemainingMs),
    deadlineAt: now + limitDuration(remainingMs)
  }
  return { job, target }
}

/** Encodes the outcome of a request for the node that sent it. */
export function formatOutcome (outcome: Outcome): Frame {
  switch (outcome.kind) {
    case 'answer': return { fields: ['answer', String(outcome.status), ...outcome.headers], body: outcome.body }
    case 'not-run': return { fields: ['not-run', outcome.cause, String(Math.round(outcome.retryAfterMs)), ...formatEvidence(outcome.evidence)], body: emptyBody }
    case 'may-have-run': return { fields: ['may-have-run', outcome.cause], body: emptyBody }
  }
}

/** Decodes the outcome that another node reports. A damaged one proves nothing, so the request may have run. */
export function parseOutcome ({ fields, body }: Frame): Outcome {
  const [kind, detail = '', delay = ''] = fields
  switch (kind) {
    case 'answer': return parseAnswer(detail, fields.slice(2), body)
    case 'not-run': return parseNotRun(detail, delay, fields.slice(3))
    case 'may-have-run': return Object.hasOwn(mayHaveRunCauses, detail) ? mayHaveRun(detail as MayHaveRunCause) : mayHaveRun('invalid')
    default: return mayHaveRun('invalid')
  }
}

function parseAnswer (statusText: string, headers: readonly string[], body: Buffer): Outcome {
  const status = parseStatus(statusText)
  return status === undefined || !areHeaders(headers) ? mayHaveRun('invalid') : { kind: 'answer', status, headers, body }
}

function parseNotRun (cause: string, delay: string, evidenceFields: readonly string[]): Outcome {
  const retryAfterMs = asDurationMs(Number(delay))
  const evidence = parseEvidence(evidenceFields)
  if (retryAfterMs === undefined || evidence === undefined || !Object.hasOwn(notRunCauses, cause)) return mayHaveRun('invalid')
  return { kind: 'not-run', cause: cause as NotRunCause, retryAfterMs, evidence }
}

/** Limits a time until a moment, in milliseconds; it is negative once that has passed. */
function limitDuration (milliseconds: number): number {
  return Math.max(-maxDurationMs, Math.min(maxDurationMs, milliseconds))
}

/** Decodes the name of a route; undefined when it is damaged. */
function decodeRoute (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    return undefined
  }
}

function formatFlag (value: boolean): string {
  return value ? '1' : '0'
}

function parseFlag (text: string | undefined): boolean {
  return text === '1'
}
