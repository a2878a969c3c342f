import { findHeader } from 'auburnturn/core/http'
import type { Headers } from '../exchange/index.js'

/** Carries from node to node what the first one decided; short, since bytes between failure domains are dear. */
export const hopHeader = 'auburnturn-hop'

/** What the node that took a request tells the node beside the target. */
export interface Hop {
  /** Milliseconds until the answer loses worth; negative when that is past. */
  readonly objectiveRemainingMs: number
  readonly priority: number
  /** The route's objective, in milliseconds. */
  readonly objectiveMs: number
  readonly idempotent: boolean
  /** May wait until the target works at its usual speed. */
  readonly patient: boolean
  /** Name of the route, as both nodes know it. */
  readonly route: string
}

export function formatHop ({ objectiveRemainingMs: wantedMs, priority, objectiveMs, idempotent, patient, route }: Hop): string {
  return `${Math.round(wantedMs)},${priority},${objectiveMs},${idempotent ? 1 : 0},${patient ? 1 : 0},${route}`
}

/** Undefined when the header is missing or damaged. */
export function parseHop (headers: Headers): Hop | undefined {
  const parts = findHeader(headers, hopHeader)?.split(',')
  if (parts === undefined || parts.length < 6) return undefined
  const [wanted, priority, objective, idempotent, patient, ...route] = parts
  const wantedMs = Number(wanted)
  const rank = Number(priority)
  const objectiveMs = Number(objective)
  if (![wantedMs, rank, objectiveMs].every(Number.isFinite)) return undefined
  return { objectiveRemainingMs: wantedMs, priority: rank, objectiveMs, idempotent: idempotent === '1', patient: patient === '1', route: route.join(',') }
}
