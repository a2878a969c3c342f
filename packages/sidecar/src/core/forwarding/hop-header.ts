import { findHeader } from 'auburnturn/core/http'
import type { Headers } from '../exchange/index.js'

/**
 * Header that carries the decisions of the first node to the next one. Kept short, since traffic between failure
 * domains is expensive.
 */
export const hopHeader = 'auburnturn-hop'

/** Decisions of the node that received a request, for the node on the VM of the target. */
export interface Hop {
  /** Milliseconds until the latency objective of the request is missed; negative after that. */
  readonly objectiveRemainingMs: number
  readonly priority: number
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number
  readonly idempotent: boolean
  /** Whether the request may wait until the target works at its usual speed. */
  readonly mayWait: boolean
  /** Name of the route in the configuration that both nodes have. */
  readonly route: string
}

/** Formats the value of the hop header: five comma-separated numbers, then the name of the route. */
export function formatHop ({ objectiveRemainingMs, priority, objectiveMs, idempotent, mayWait, route }: Hop): string {
  return `${Math.round(objectiveRemainingMs)},${priority},${objectiveMs},${idempotent ? 1 : 0},${mayWait ? 1 : 0},${route}`
}

/** Parses the hop header; undefined when it is missing or damaged. */
export function parseHop (headers: Headers): Hop | undefined {
  const parts = findHeader(headers, hopHeader)?.split(',')
  if (parts === undefined || parts.length < 6) return undefined
  const [remainingText, priorityText, objectiveText, idempotent, mayWait, ...route] = parts
  const objectiveRemainingMs = Number(remainingText)
  const priorityNumber = Number(priorityText)
  const objectiveMs = Number(objectiveText)
  if (![objectiveRemainingMs, priorityNumber, objectiveMs].every(Number.isFinite)) return undefined
  return { objectiveRemainingMs, priority: priorityNumber, objectiveMs, idempotent: idempotent === '1', mayWait: mayWait === '1', route: route.join(',') }
}
