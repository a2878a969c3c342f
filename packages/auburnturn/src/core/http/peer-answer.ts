import { headerNames } from '../call/index.js'
import type { Load, Outcome, RawHeaders } from '../call/types.js'
import { mayHaveRun, notRun } from '../verdict/index.js'
import type { MayHaveRun, MayHaveRunCause, NotRun, NotRunCause, Verdict } from '../verdict/index.js'
import { findHeader } from './headers.js'
import { parseLoad } from './load.js'
import { mayHaveRunStatus, notRunStatus } from './problem.js'

/** Information for the sender in the answer head of another node. */
export interface PeerAnswer {
  /** Set if the node refused the call; undefined if the answer comes from the upstream. */
  readonly refusal?: NotRun | MayHaveRun
  readonly load?: Load
  readonly incarnation?: string
  readonly successor?: string
  /** True if no layer above may retry the call. */
  readonly retriesExhausted?: boolean
}

/** Parses the answer head of a node; undefined without a valid verdict, because every node sends one. */
export function parsePeerAnswer (headers: RawHeaders): PeerAnswer | undefined {
  const kind = findHeader(headers, headerNames.verdict)
  if (kind !== 'done' && kind !== 'not-run' && kind !== 'may-have-run') return undefined
  const refusal = kind === 'done' ? undefined : parseRefusal(kind, findHeader(headers, headerNames.cause))
  const load = parseLoad(findHeader(headers, headerNames.load))
  const incarnation = findHeader(headers, headerNames.incarnation)
  const successor = refusal === undefined ? undefined : findHeader(headers, headerNames.ticket)
  const retriesExhausted = refusal !== undefined && findHeader(headers, headerNames.retry) === 'no'
  return {
    ...(refusal === undefined ? {} : { refusal }),
    ...(load === undefined ? {} : { load }),
    ...(incarnation === undefined ? {} : { incarnation }),
    ...(successor === undefined ? {} : { successor }),
    ...(retriesExhausted ? { retriesExhausted } : {})
  }
}

/** Creates the outcome of an attempt. Common ones are plain literals, which are cheaper than spread optional fields. */
export function createOutcome (verdict: Verdict, status: number | undefined, peer: PeerAnswer | undefined): Outcome {
  if (status === undefined) return { verdict }
  if (peer === undefined) return { verdict, status }
  const { load, incarnation, successor, retriesExhausted } = peer
  return {
    verdict,
    status,
    ...(load === undefined ? undefined : { load }),
    ...(incarnation === undefined ? undefined : { incarnation }),
    ...(successor === undefined ? undefined : { successor }),
    ...(retriesExhausted === undefined ? undefined : { retriesExhausted })
  }
}

/** A node with a newer version may send a cause that this version does not have; a default of the same kind replaces it. */
function parseRefusal (kind: 'not-run' | 'may-have-run', cause = ''): NotRun | MayHaveRun {
  if (kind === 'not-run') return notRun(Object.hasOwn(notRunStatus, cause) ? cause as NotRunCause : 'admission-closed')
  return mayHaveRun(Object.hasOwn(mayHaveRunStatus, cause) ? cause as MayHaveRunCause : 'connection-lost')
}
