import { checkHistory } from 'auburnturn'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryEvent, Violation } from 'auburnturn'
import type { CallKind, Told } from './caller.js'
import { allowedIn } from './cells.js'
import type { Cell } from './cells.js'
import { isLeave } from './faults.js'
import { createSending, Scene } from './scene.js'
import type { Planned } from './scene.js'
import { newWorkMs } from './world.js'
import type { World } from './world.js'

/** Time beyond the profile's after which a leaving target is tried again, in milliseconds. */
const graceMs = 20

/** Sendings of the struck call until its faults have struck. */
const maxTries = 12

/** A breach of a promise, a verdict that a cell does not allow, or a run that did not go as planned. */
export interface Breach {
  readonly kind: Violation['rule'] | 'verdict' | 'not-reached' | 'close'
  readonly detail: string
}

/** What came of one run. */
export interface Run {
  readonly told: readonly Told[]
  readonly breaches: readonly Breach[]
  readonly events: readonly HistoryEvent[]
}

/** Runs one cell with one kind of call. */
export async function runCell (cell: Cell, kind: CallKind, seed: number): Promise<Run> {
  const run = await runPlan([cell], kind, seed)
  const allowed = allowedIn(cell, kind)
  const surprises = run.told.filter(told => !allowed.includes(told))
  const breaches = surprises.map((told): Breach => ({ kind: 'verdict', detail: `${kind} call told ${told}, allowed: ${allowed.join(', ')}` }))
  return { ...run, breaches: [...run.breaches, ...breaches] }
}

/** Runs a call, with resends as its kind permits, under faults planned for it; `told` is of the sendings that were struck. */
export async function runPlan (planned: readonly Planned[], kind: CallKind, seed: number): Promise<Run> {
  const scene = await Scene.create(planned, seed)
  const { world } = scene
  const told = await strikeCalls(scene, planned, kind, seed)
  if (planned.some(({ fault }) => isLeave(fault))) await sendAfterLeave(world)
  const closed = await world.close()
  world.recording.add({ kind: 'history-ended' })
  const { events } = world.recording
  const breaches: Breach[] = checkHistory(events).map(({ rule, detail }) => ({ kind: rule, detail }))
  if (scene.struck.length < planned.length) breaches.push({ kind: 'not-reached', detail: `struck only ${scene.struck.length} of ${planned.length}` })
  if (!closed) breaches.push({ kind: 'close', detail: 'a node did not close in time' })
  return { told, breaches, events }
}

/** Sends a call through every node once no target that left may get new work. */
async function sendAfterLeave (world: World): Promise<void> {
  await sleep(newWorkMs + graceMs)
  await Promise.all(world.targets.map(async ({ id }, index) => await world.caller.send(createSending(world, `after-leave-${id}`, 'plain', 0, index))))
}

async function strikeCalls (scene: Scene, planned: readonly Planned[], kind: CallKind, seed: number): Promise<Told[]> {
  let told: Told[] = []
  for (let turn = 0; turn < maxTries && scene.struck.length < planned.length; turn++) {
    const call = `call-${turn}`
    const ticket = kind === 'ticketed' ? await fetchTicket(scene.world, seed + turn) : undefined
    if (kind === 'ticketed' && ticket === undefined) break
    await scene.arm(call, ticket)
    told = await sendCall(scene.world, call, kind, seed, ticket)
  }
  return told
}

async function fetchTicket (world: World, seed: number): Promise<string | undefined> {
  for (let turn = 0; turn < maxTries; turn++) {
    const node = world.targets[(seed + turn) % world.targets.length]?.node
    const ticket = await world.caller.fetchTicket(world.ip, node?.callersPort ?? 0)
    if (ticket !== undefined) return ticket
  }
  return undefined
}

/** The first sending with two at the same moment through other nodes when a ticket covers them; then a later one. */
async function sendCall (world: World, call: string, kind: CallKind, seed: number, ticket: string | undefined): Promise<Told[]> {
  const send = async (number: number): Promise<Told> => await world.caller.send(createSending(world, call, kind, number, seed + number, ticket))
  if (kind !== 'ticketed') return [await send(0)]
  const told = await Promise.all([send(0), send(1), send(2)])
  await send(3)
  return told
}
