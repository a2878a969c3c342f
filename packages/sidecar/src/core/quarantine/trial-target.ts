import { crc32 } from 'node:zlib'
import type { TargetState } from '../targets/index.js'

/** A target of a service, as far as the choice of its trial target depends on it. */
export interface ServiceTarget {
  readonly id: string
  readonly service: string
  readonly state: TargetState
}

/**
 * Returns the one target of a service on which suspects run, one at a time; all nodes choose the same. Undefined while a crash of it
 * would leave less than half of the targets, unless all are up.
 */
export function findTrialTarget<Target extends ServiceTarget> (targets: readonly Target[]): Target | undefined {
  const up = targets.filter(({ state }) => state === 'up')
  const others = up.length - 1
  if (up.length < targets.length && others < targets.length / 2) return undefined
  return up.reduce<Target | undefined>((best, target) => best === undefined || computeWeight(target) > computeWeight(best) ? target : best, undefined)
}

/** Weight of a target in rendezvous hashing. */
function computeWeight ({ id, service }: ServiceTarget): number {
  return crc32(`${service} ${id}`)
}
