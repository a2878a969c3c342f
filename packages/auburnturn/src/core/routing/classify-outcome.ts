import type { Outcome } from '../call/types.js'

/** What an outcome indicates about the health of its target. */
export type OutcomeClass =
  | 'answered'
  | 'failed' // an error; counts against the target however fast it came
  | 'unreachable' // no connection could be opened: nothing listens there
  | 'refused' // refused before it ran, usually by the target's own admission; not an error
  | 'abandoned' // no indication: the caller disconnected or the request is the cause

/** Classifies an outcome by what it indicates about the health of its target. */
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
