import type { Member } from '../membership/types.js'
import { computeRendezvousWeight } from './hash.js'

/**
 * The targets of one service that one router uses: `size` of them by rendezvous hash, at most a fair share
 * from each failure domain, so that no domain is preferred and the loss of one leaves the rest.
 * A change of one member moves at most few.
 */
export function chooseSubset (members: readonly Member[], router: string, size: number): readonly Member[] {
  if (members.length <= size) return members
  const ranked = members
    .map(member => ({ member, weight: computeRendezvousWeight(router, member.id) }))
    .sort((one, other) => other.weight - one.weight)
  const left = computeDomainQuotas(members, size)
  const picked: Member[] = []
  for (const { member } of ranked) {
    const room = left.get(member.failureDomain) as number
    if (room === 0) continue
    left.set(member.failureDomain, room - 1)
    if (picked.push(member) === size) break
  }
  return picked
}

/** The one target that every router picks for `key`; undefined when there is none. */
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

/** The most targets to take from each failure domain: in proportion to its members, rounded up. */
function computeDomainQuotas (members: readonly Member[], size: number): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { failureDomain } of members) counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
  return new Map([...counts].map(([domain, count]) => [domain, Math.ceil(size * count / members.length)]))
}
