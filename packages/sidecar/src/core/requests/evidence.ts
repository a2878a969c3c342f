import type { ConnectionUse } from '../exchange/index.js'

/** The answer with which a target refused a request. */
export interface Refusal {
  readonly kind: 'refusal'
  readonly status: number
  /** Id of the attempt that the answer names; empty when it names none. */
  readonly attempt: string
  /** Id of the target that the answer names; empty when it names none. */
  readonly target: string
  /** How the connection was used before the request that was refused. */
  readonly connection: ConnectionUse
}

/** What shows that a request did not run. */
export type Evidence =
  | { readonly kind: 'unsent' } // no byte of the request was written to a target
  | { readonly kind: 'unsent-by-peer' } // the same, as the node beside the target reports
  | Refusal

/** Evidence of a node that has written no byte of the request. */
export const unsent: Evidence = { kind: 'unsent' }

/** Returns the fields of a log line that show the evidence. */
export function describeEvidence (evidence: Evidence): Readonly<Record<string, string | number>> {
  if (evidence.kind !== 'refusal') return { evidence: evidence.kind }
  const { kind, status, attempt, target, connection: { earlierRequests, ageMs } } = evidence
  return { evidence: kind, refusalStatus: status, refusalOf: attempt, refusedBy: target, earlierRequests, connectionAgeMs: Math.round(ageMs) }
}

/** Encodes the evidence in text fields for another node. */
export function formatEvidence (evidence: Evidence): string[] {
  if (evidence.kind !== 'refusal') return [evidence.kind]
  const { kind, status, attempt, target, connection: { earlierRequests, ageMs } } = evidence
  return [kind, String(status), attempt, target, String(earlierRequests), String(Math.round(ageMs))]
}

/** Decodes the evidence that the node beside the target reports; undefined if it is damaged. */
export function parseEvidence ([kind, status, attempt, target, earlierRequests, ageMs]: readonly string[]): Evidence | undefined {
  if (kind === 'unsent') return { kind: 'unsent-by-peer' }
  if (kind !== 'refusal' || attempt === undefined || target === undefined) return undefined
  const figures = [status, earlierRequests, ageMs].map(Number)
  if (!figures.every(figure => Number.isInteger(figure) && figure >= 0)) return undefined
  return { kind, status: figures[0] as number, attempt, target, connection: { earlierRequests: figures[1] as number, ageMs: figures[2] as number } }
}
