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

/** Time beyond the profile's after which a leaving target is tried again, in milliseconds. */
const leaveMarginMs = 20

/** Sendings of the struck call until its faults have struck. */
const maxTries = 12

/** A breach of a promise, a verdict that a cell does not allow, or a run that did not go as planned. */
export interface RunFailure {
  readonly kind: Violation['rule'] | 'verdict' | 'not-reached' | 'close'
  readonly detail: string
}

/** What came of one run. */
export interface RunResult {
  readonly outcomes: readonly CallerOutcome[]
  readonly failures: readonly RunFailure[]
  readonly events: readonly HistoryEvent[]
}

/** Runs one cell with one kind of call. */
export async function runCell (cell: Cell, kind: CallKind, seed: number): Promise<RunResult> {
  const run = await runWithFaults([cell], kind, seed)
  const allowed = getAllowedOutcomes(cell, kind)
  const surprises = run.outcomes.filter(told => !allowed.includes(told))
  const breaches = surprises.map((told): RunFailure => ({ kind: 'verdict', detail: `${kind} call told ${told}, allowed: ${allowed.join(', ')}` }))
  return { ...run, failures: [...run.failures, ...breaches] }
}

/** Runs a call, with resends as its kind permits, under faults planned for it; `told` is of the sendings that were struck. */
export async function runWithFaults (planned: readonly PlannedFault[], kind: CallKind, seed: number): Promise<RunResult> {
  const scene = await Scenario.create(planned, seed)
  const { cluster: world } = scene
  const told = await sendUntilInjected(scene, planned, kind, seed)
  if (planned.some(({ fault }) => isGracefulLeave(fault))) await sendAfterLeave(world)
  const closed = await world.close()
  world.recorder.add({ kind: 'history-ended' })
  const { events } = world.recorder
  const breaches: RunFailure[] = checkHistory(events).map(({ rule, detail }) => ({ kind: rule, detail }))
  if (scene.injected.length < planned.length) breaches.push({ kind: 'not-reached', detail: `struck only ${scene.injected.length} of ${planned.length}` })
  if (!closed) breaches.push({ kind: 'close', detail: 'a node did not close in time' })
  return { outcomes: told, failures: breaches, events }
}

/** Sends a call through every node once no target that left may get new work. */
async function sendAfterLeave (world: TestCluster): Promise<void> {
  await sleep(newWorkMs + leaveMarginMs)
  await Promise.all(world.targets.map(async ({ id }, index) => await world.caller.send(createCallRequest(world, `after-leave-${id}`, 'plain', 0, index))))
}

async function sendUntilInjected (scene: Scenario, planned: readonly PlannedFault[], kind: CallKind, seed: number): Promise<CallerOutcome[]> {
  let told: CallerOutcome[] = []
  for (let turn = 0; turn < maxTries && scene.injected.length < planned.length; turn++) {
    const call = `call-${turn}`
    const ticket = kind === 'ticketed' ? await fetchTicket(scene.cluster, seed + turn) : undefined
    if (kind === 'ticketed' && ticket === undefined) break
    await scene.arm(call, ticket)
    told = await sendCall(scene.cluster, call, kind, seed, ticket)
  }
  return told
}

async function fetchTicket (world: TestCluster, seed: number): Promise<string | undefined> {
  for (let turn = 0; turn < maxTries; turn++) {
    const node = world.targets[(seed + turn) % world.targets.length]?.node
    const ticket = await world.caller.fetchTicket(world.ip, node?.callersPort ?? 0)
    if (ticket !== undefined) return ticket
  }
  return undefined
}

/** The first sending with two at the same moment through other nodes when a ticket covers them; then a later one. */
async function sendCall (world: TestCluster, call: string, kind: CallKind, seed: number, ticket: string | undefined): Promise<CallerOutcome[]> {
  const send = async (number: number): Promise<CallerOutcome> => await world.caller.send(createCallRequest(world, call, kind, number, seed + number, ticket))
  if (kind !== 'ticketed') return [await send(0)]
  const told = await Promise.all([send(0), send(1), send(2)])
  await send(3)
  return told
}
