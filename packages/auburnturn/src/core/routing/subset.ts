import type { Member } from '../membership/types.js'
import { weigh } from './hash.js'

/**
 * The targets of one service that one router uses: `size` of them by rendezvous hash,
 * taken from each failure domain in proportion to its targets, so that no domain is preferred
 * and the loss of one leaves the rest. A change of one member moves at most few.
 */
export function chooseSubset (members: readonly Member[], router: string, size: number): readonly Member[] {
  if (members.length <= size) return members
  const domains = rankDomains(members, router)
  const picked: Member[] = []
  const taken = domains.map(() => 0)
  while (picked.length < size) {
    const next = findLeastFilled(domains, taken)
    const index = taken[next] as number
    picked.push((domains[next] as Member[])[index] as Member)
    taken[next] = index + 1
  }
  return picked
}

/** The one target that every router picks for `key`; undefined when there is none. */
export function chooseOwner (members: readonly Member[], key: string): Member | undefined {
  let owner: Member | undefined
  let highest = -1
  for (const member of members) {
    const weight = weigh(key, member.id)
    if (weight <= highest) continue
    owner = member
    highest = weight
  }
  return owner
}

/** The members of each failure domain, highest weight first; domains in an order of this router's own. */
function rankDomains (members: readonly Member[], router: string): Member[][] {
  const domains = new Map<string, Array<{ member: Member, weight: number }>>()
  for (const member of members) {
    const ranked = domains.get(member.failureDomain) ?? []
    ranked.push({ member, weight: weigh(router, member.id) })
    domains.set(member.failureDomain, ranked)
  }
  return [...domains]
    .sort(([one], [other]) => weigh(router, other) - weigh(router, one))
    .map(([, ranked]) => ranked.sort((one, other) => other.weight - one.weight).map(({ member }) => member))
}

/** The domain of which the smallest share is taken and that has targets left. */
function findLeastFilled (domains: readonly Member[][], taken: readonly number[]): number {
  let least = 0
  let leastShare = Infinity
  domains.forEach((domain, index) => {
    const share = ((taken[index] as number) + 0.5) / domain.length
    if (share >= leastShare || taken[index] === domain.length) return
    least = index
    leastShare = share
  })
  return least
}
