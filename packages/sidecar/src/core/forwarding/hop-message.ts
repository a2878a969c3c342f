import type { Frame } from '../peer-calls/index.js'
import { formatEvidence, mayHaveRun, parseEvidence } from '../requests/index.js'
import type { Job, MayHaveRunCause, NotRunCause, Outcome } from '../requests/index.js'

const emptyBody = Buffer.alloc(0)

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
  if (![remainingMs, objectiveRemainingMs, priority, objectiveMs].every(Number.isFinite)) return undefined
  const job: Job = {
    id,
    method,
    path,
    headers: fields.slice(requestFields),
    body,
    route: decodeURIComponent(route),
    service,
    caller,
    idempotent: parseFlag(fields[11]),
    objectiveMs,
    priority,
    mayWait: parseFlag(fields[12]),
    objectiveAt: now + objectiveRemainingMs,
    deadlineAt: now + remainingMs
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
  const retryAfterMs = Number(delay)
  if (kind === 'answer' && Number.isInteger(Number(detail))) return { kind, status: Number(detail), headers: fields.slice(2), body }
  const evidence = parseEvidence(fields.slice(3))
  if (kind === 'not-run' && Number.isFinite(retryAfterMs) && evidence !== undefined) return { kind, cause: detail as NotRunCause, retryAfterMs, evidence }
  if (kind === 'may-have-run') return mayHaveRun(detail as MayHaveRunCause)
  return mayHaveRun('invalid')
}

function formatFlag (value: boolean): string {
  return value ? '1' : '0'
}

function parseFlag (text: string | undefined): boolean {
  return text === '1'
}
