import type { Concern, NodeStatus, ComparedStatus } from './types.js'

/** Time without platform contact that counts as a concern, in milliseconds; a healthy watch may stay open for 25 s. */
const platformSilentAfterMs = 60_000

/** Compares the nodes and lists the concerns of each, such as a configuration that is behind or differs at the same version. */
export function compareStatuses (statuses: readonly NodeStatus[]): ComparedStatus[] {
  const newestVersion = Math.max(0, ...statuses.map(({ version }) => version ?? 0))
  const commonDigest = findCommonDigest(statuses.filter(({ version }) => version === newestVersion))
  return statuses.map(status => ({ ...status, concerns: findConcerns(status, newestVersion, commonDigest) }))
}

function findConcerns (status: NodeStatus, newestVersion: number, commonDigest: string | undefined): Concern[] {
  const concerns: Concern[] = []
  if ((status.version ?? newestVersion) < newestVersion) concerns.push('behind')
  if (status.version === newestVersion && status.digest !== commonDigest) concerns.push('differs')
  if (status.state === 'draining' || status.state === 'starting') concerns.push(status.state)
  if ((status.platformSilentMs ?? 0) > platformSilentAfterMs) concerns.push('platform silent')
  return concerns
}

/** Returns the most frequent digest; on a tie, the one listed first. */
function findCommonDigest (statuses: readonly NodeStatus[]): string | undefined {
  const counts = new Map<string | undefined, number>()
  for (const { digest } of statuses) counts.set(digest, (counts.get(digest) ?? 0) + 1)
  const maxCount = Math.max(0, ...counts.values())
  return [...counts].find(([, count]) => count === maxCount)?.[0]
}
