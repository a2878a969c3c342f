import type { Concern, NodeStatus, ComparedStatus } from './types.js'

/** Silence of the platform that is worth a look, in milliseconds; a watch may be held for 25 s. */
const platformSilentAfterMs = 60_000

/** Compares the nodes with each other: who lags, and who holds something else at the same version. */
export function compareStatuses (statuses: readonly NodeStatus[]): ComparedStatus[] {
  const newest = Math.max(0, ...statuses.map(({ version }) => version ?? 0))
  const commonDigest = findCommonDigest(statuses.filter(({ version }) => version === newest))
  return statuses.map(status => ({ ...status, concerns: findConcerns(status, newest, commonDigest) }))
}

function findConcerns (status: NodeStatus, newest: number, commonDigest: string | undefined): Concern[] {
  const concerns: Concern[] = []
  if ((status.version ?? newest) < newest) concerns.push('behind')
  if (status.version === newest && status.digest !== commonDigest) concerns.push('differs')
  if (status.state === 'draining' || status.state === 'starting') concerns.push(status.state)
  if ((status.platformSilentMs ?? 0) > platformSilentAfterMs) concerns.push('platform silent')
  return concerns
}

/** The digest that most nodes hold; ties go to the one that was listed first. */
function findCommonDigest (statuses: readonly NodeStatus[]): string | undefined {
  const counts = new Map<string | undefined, number>()
  for (const { digest } of statuses) counts.set(digest, (counts.get(digest) ?? 0) + 1)
  const maxCount = Math.max(0, ...counts.values())
  return [...counts].find(([, count]) => count === maxCount)?.[0]
}
