import { chooseAdaptive, chooseSubset, createCandidate, Random } from 'auburnturn'
import type { Candidate, Member } from 'auburnturn'

/** How evenly the subsets of routers cover the targets, and how many pairs change when a target leaves. */
export interface SubsetSpread {
  readonly targets: number
  readonly routers: number
  /** Targets in the subset of each router. */
  readonly size: number
  /** Least, mean and largest number of routers whose subset contains a given target. */
  readonly least: number
  readonly mean: number
  readonly most: number
  /** Share of all pairs of router and target that change when one target leaves. */
  readonly moved: number
}

/** Number of failure domains at the size that the project is designed for. */
const failureDomainCount = 22

/** Computes the subsets of `routers` routers over the targets of one service. */
export function measureSubsetSpread (targets: number, routers: number, size: number): SubsetSpread {
  const members = Array.from({ length: targets }, (_, index) => createMember(index))
  const routersByTarget = new Map<string, number>()
  let moved = 0
  for (let router = 0; router < routers; router++) {
    const before = new Set(chooseSubset(members, `router-${router}`, size).map(({ id }) => id))
    const after = chooseSubset(members.slice(1), `router-${router}`, size)
    for (const id of before) routersByTarget.set(id, (routersByTarget.get(id) ?? 0) + 1)
    moved += after.filter(({ id }) => !before.has(id)).length
  }
  const routerCounts = members.map(({ id }) => routersByTarget.get(id) ?? 0)
  const subsetSize = Math.min(size, targets)
  return { targets, routers, size, least: Math.min(...routerCounts), mean: routers * subsetSize / targets, most: Math.max(...routerCounts), moved: moved / (routers * subsetSize) }
}

/** Mean time of one choice among `count` candidates, in microseconds. */
export function measureChoiceUs (count: number): number {
  const random = Random.create(1)
  const candidates = Array.from({ length: count }, (_, index): Candidate => Object.assign(createCandidate(createMember(index), -Infinity, { latencyMs: 10 }), {
    inFlight: random.integerBelow(8), answers: 10, busyMs: 100, others: random.integerBelow(8), load: { running: 10, queued: 0, limit: 20, state: 'serving' as const }
  }))
  const rounds = 200_000
  for (let round = 0; round < rounds / 10; round++) chooseAdaptive(candidates, random, round / 1000)
  const start = process.hrtime.bigint()
  for (let round = 0; round < rounds; round++) chooseAdaptive(candidates, random, round / 1000)
  return Number(process.hrtime.bigint() - start) / 1_000 / rounds
}

function createMember (index: number): Member {
  return { id: `target-${index}`, service: 'orders', region: 'kochi', failureDomain: `domain-${index % failureDomainCount}`, ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }
}
