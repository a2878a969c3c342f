import type { Outcome } from '../call/types.js'

/** What an outcome says of its target. */
export type OutcomeClass =
  | 'answered'
  | 'failed' // counts as load, however fast it came
  | 'unreachable' // nothing listens there
  | 'refused' // told by the target's own admission, not an error
  | 'abandoned' // says nothing of the target: the caller left or the request is at fault

/** Reads an outcome as a sign of its target's health. */
export function classifyOutcome ({ verdict, status }: Outcome): OutcomeClass {
  if (verdict.kind === 'done') return status !== undefined && status >= 500 ? 'failed' : 'answered'
  switch (verdict.cause) {
    case 'connect-failed':
      return 'unreachable'
    case 'caller-gone':
    case 'caller-idle':
    case 'body-too-large':
    case 'bad-request':
    case 'ticket-refused':
    case 'ticket-running':
    case 'ticket-lost':
    case 'quarantined':
      return 'abandoned'
    case 'connection-unavailable':
    case 'overloaded':
    case 'queue-timeout':
    case 'deadline-expired':
    case 'admission-closed':
    case 'unknown-service':
    case 'no-target':
      return 'refused'
    default:
      return 'failed'
  }
}
