import { checkHistory } from 'auburnturn'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryEvent, Violation } from 'auburnturn'
import type { CallKind, CallerOutcome } from './caller.js'
import { getAllowedOutcomes } from './cells.js'
import type { Cell } from './cells.js'
import { isGracefulLeave } from './faults.js'
import { createCallRequest, Scenario } from './scenario.js'
import type { PlannedFault } from './scenario.js'
import { newWorkMs } from './test-cluster.js'
import type { TestCluster } from './test-cluster.js'

/** Margin after `newWorkMs` before calls are sent to check that a leaving target receives none, in milliseconds. */
const leaveMarginMs = 20

/** Maximum number of calls sent until all planned faults have been injected, and of nodes asked for a ticket. */
const maxTries = 12

/** A violated rule, an outcome that the cell does not allow, a fault that was not injected, or a node that did not close. */
export interface RunFailure {
  readonly kind: Violation['rule'] | 'verdict' | 'not-reached' | 'close'
  readonly detail: string
}

/** Outcomes of the requests of the last call, the failures found, and the recorded history. */
export interface RunResult {
  readonly outcomes: readonly CallerOutcome[]
  readonly failures: readonly RunFailure[]
  readonly events: readonly HistoryEvent[]
}

/** Runs one cell with one kind of call. */
export async function runCell (cell: Cell, kind: CallKind, seed: number): Promise<RunResult> {
  const run = await runWithFaults([cell], kind, seed)
  const allowed = getAllowedOutcomes(cell, kind)
  const disallowed = run.outcomes.filter(outcome => !allowed.includes(outcome))
  const failures = disallowed.map((outcome): RunFailure => ({ kind: 'verdict', detail: `outcome of ${kind} call: ${outcome}, allowed: ${allowed.join(', ')}` }))
  return { ...run, failures: [...run.failures, ...failures] }
}

/**
 * Sends a call, with resends if it has a ticket, while faults are injected into its cluster. Sends further calls until every
 * planned fault has been injected; the outcomes are those of the last call.
 */
export async function runWithFaults (plannedFaults: readonly PlannedFault[], kind: CallKind, seed: number): Promise<RunResult> {
  const scenario = await Scenario.create(plannedFaults, seed)
  const { cluster } = scenario
  const outcomes = await sendUntilInjected(scenario, plannedFaults, kind, seed)
  if (plannedFaults.some(({ fault }) => isGracefulLeave(fault))) await sendAfterLeave(cluster)
  const closed = await cluster.close()
  cluster.recorder.add({ kind: 'history-ended' })
  const { events } = cluster.recorder
  const failures: RunFailure[] = checkHistory(events).map(({ rule, detail }) => ({ kind: rule, detail }))
  if (scenario.injected.length < plannedFaults.length) failures.push({ kind: 'not-reached', detail: `only ${scenario.injected.length} of ${plannedFaults.length} faults were injected` })
  if (!closed) failures.push({ kind: 'close', detail: 'a node did not close in time' })
  return { outcomes, failures, events }
}

/** Sends a call through every node after the time in which a leaving target may still receive new work. */
async function sendAfterLeave (cluster: TestCluster): Promise<void> {
  await sleep(newWorkMs + leaveMarginMs)
  await Promise.all(cluster.targets.map(async ({ id }, index) => await cluster.caller.send(createCallRequest(cluster, `after-leave-${id}`, 'plain', 0, index))))
}

/** Sends one call after the other until all planned faults have been injected; returns the outcomes of the last call. */
async function sendUntilInjected (scenario: Scenario, plannedFaults: readonly PlannedFault[], kind: CallKind, seed: number): Promise<CallerOutcome[]> {
  let outcomes: CallerOutcome[] = []
  for (let callIndex = 0; callIndex < maxTries && scenario.injected.length < plannedFaults.length; callIndex++) {
    const call = `call-${callIndex}`
    const ticket = kind === 'ticketed' ? await fetchTicket(scenario.cluster, seed + callIndex) : undefined
    if (kind === 'ticketed' && ticket === undefined) break
    await scenario.arm(call, ticket)
    outcomes = await sendCall(scenario.cluster, call, kind, seed, ticket)
  }
  return outcomes
}

/** Requests a ticket from one node after the other, starting at node `seed`, until one issues it. */
async function fetchTicket (cluster: TestCluster, seed: number): Promise<string | undefined> {
  for (let offset = 0; offset < maxTries; offset++) {
    const node = cluster.targets[(seed + offset) % cluster.targets.length]?.node
    const ticket = await cluster.caller.fetchTicket(cluster.ip, node?.callersPort ?? 0)
    if (ticket !== undefined) return ticket
  }
  return undefined
}

/**
 * Sends the requests of one call. A ticketed call is sent through three nodes concurrently and then once more; the outcome
 * of the last request is not returned.
 */
async function sendCall (cluster: TestCluster, call: string, kind: CallKind, seed: number, ticket: string | undefined): Promise<CallerOutcome[]> {
  const send = async (requestIndex: number): Promise<CallerOutcome> => await cluster.caller.send(createCallRequest(cluster, call, kind, requestIndex, seed + requestIndex, ticket))
  if (kind !== 'ticketed') return [await send(0)]
  const outcomes = await Promise.all([send(0), send(1), send(2)])
  await send(3)
  return outcomes
}
