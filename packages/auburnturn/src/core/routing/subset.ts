import type { Member } from '../membership/types.js'
import { computeRendezvousWeight } from './hash.js'

/**
 * Chooses the targets of one service that one router uses: `size` of them by rendezvous hashing, with at most
 * a proportional number from each failure domain, so that no domain is preferred and targets of other domains remain
 * when one domain fails. When one member joins or leaves, few targets of the subset change.
 */
export function chooseSubset (members: readonly Member[], routerId: string, size: number): readonly Member[] {
  if (members.length <= size) return members
  const ranked = members
    .map(member => ({ member, weight: computeRendezvousWeight(routerId, member.id) }))
    .sort((one, other) => other.weight - one.weight)
  const quotas = computeDomainQuotas(members, size)
  const chosen: Member[] = []
  for (const { member } of ranked) {
    const quota = quotas.get(member.failureDomain) as number
    if (quota === 0) continue
    quotas.set(member.failureDomain, quota - 1)
    if (chosen.push(member) === size) break
  }
  return chosen
}

/** The one target that every router chooses for `key`, by rendezvous hashing; undefined when there are no members. */
export function chooseOwner (members: readonly Member[], key: string): Member | undefined {
  let owner: Member | undefined
  let highest = -1
  for (const member of members) {
    const weight = computeRendezvousWeight(key, member.id)
    if (weight <= highest) continue
    owner = member
    highest = weight
  }
  return owner
}

/** Maximum number of targets to choose from each failure domain: proportional to its number of members, rounded up. */
function computeDomainQuotas (members: readonly Member[], size: number): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { failureDomain } of members) counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
  return new Map([...counts].map(([domain, count]) => [domain, Math.ceil(size * count / members.length)]))
}
