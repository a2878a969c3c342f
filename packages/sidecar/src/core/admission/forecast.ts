/**
 * Forecasts for the slots of one target: when a request can start, how long it may wait for that, and whether work is held back
 * while the target is slow.
 */
import { slowFactor } from '../targets/index.js'
import { isShort } from './order.js'
import type { OrderingContext } from './order.js'
import type { ServiceSpeed, SlotRequest } from './types.js'

/** What runs at a target and how fast. Work is in milliseconds at its usual speed. */
export interface TargetWork {
  /** Number of requests that run now. */
  readonly running: number
  /** Sum of the expected work of the running requests. */
  readonly runningWorkMs: number
  /** Maximum number of requests that run at the same time. */
  readonly limit: number
  /** Mean expected work of the requests of this target. */
  readonly meanWorkMs: number
  readonly speed: ServiceSpeed
}

/** Whether work at present takes much longer than usual. */
export function isSlow ({ slowness, usualSlowness }: ServiceSpeed): boolean {
  return slowness >= usualSlowness * slowFactor
}

/**
 * Whether a request is held back until the target works at its usual speed. Work that starts while the target is slow stays slow to
 * its end, so waiting is better unless the wait is longer than what it saves.
 */
export function isHeld (requestWorkMs: number, target: TargetWork): boolean {
  return isHoldingWork(target) && gainsFromHolding(requestWorkMs, target.speed)
}

/** The state on which the order of queued requests depends; requests that are held back start at the usual speed. */
export function createOrderingContext (target: TargetWork, now: number): OrderingContext {
  const { slowness, usualSlowness } = target.speed
  return { now, slowness: isHoldingWork(target) ? usualSlowness : slowness, meanWorkMs: target.meanWorkMs }
}

/**
 * Expected milliseconds until a request can start when `aheadMs` of queued work run before it. On average, running requests are half
 * done.
 */
export function estimateWaitMs (aheadMs: number, target: TargetWork): number {
  const { running, runningWorkMs, limit, speed } = target
  const halfOfRunningMs = running === 0 ? 0 : runningWorkMs / running / 2
  const { slowness } = createOrderingContext(target, 0)
  const holdMs = isHoldingWork(target) ? speed.expectedSlowMs : 0
  return holdMs + (halfOfRunningMs / Math.max(1, Math.min(running, limit)) + aheadMs / limit) * slowness
}

/**
 * Longest time that a request may stay queued, in milliseconds: until it can no longer meet its objective, so that its caller has
 * time for another attempt. Short requests may wait as long as they can still meet their deadline, since mostly a running request
 * needs their answer even after the objective.
 */
export function computeMaxWaitMs (request: SlotRequest, context: OrderingContext): number {
  const { workMs, objectiveAt, deadlineAt } = request
  const latestEndAt = isShort(request, context) ? deadlineAt : Math.min(objectiveAt, deadlineAt)
  return Math.max(0, latestEndAt - context.now - workMs * context.slowness)
}

/** Whether the target holds back work of mean length. */
function isHoldingWork ({ meanWorkMs, speed }: TargetWork): boolean {
  return isSlow(speed) && gainsFromHolding(meanWorkMs, speed)
}

/** Whether the usual speed saves more time for this work than the wait for it takes. */
function gainsFromHolding (workMs: number, { slowness, usualSlowness, expectedSlowMs }: ServiceSpeed): boolean {
  return workMs * (slowness - usualSlowness) > expectedSlowMs
}
