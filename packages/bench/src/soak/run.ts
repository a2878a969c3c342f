import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryEvent } from 'auburnturn'
import { Child } from './child.js'
import { ports, recoveryMs } from './constants.js'
import { DatagramRelay } from './datagram-relay.js'
import { Operator } from './operator.js'
import { createPlaces } from './places.js'
import { drawPlan } from './plan.js'
import type { FromProcess, ToCallers } from './processes/messages.js'
import { now } from './processes/messages.js'
import { strike } from './strike.js'
import type { Disturbance, Fault, Observation, StrayEnd, Told, Work } from './types.js'
import { Vm } from './vm.js'

/** How one run is made. */
export interface RunOptions {
  readonly seed: number
  readonly vms: number
  /** Milliseconds in which faults begin. */
  readonly lengthMs: number
  /** Requests a second at each VM. */
  readonly perSecond: number
  /** Folder for settings and output of the processes. */
  readonly folder: string
  /** Which of the addresses of loopback are used (0 to 63). */
  readonly net: number
}

/** A run as it was planned and seen. */
export interface Run {
  readonly plan: readonly Fault[]
  readonly observation: Observation
}

/** VMs whose callers share one process. */
const vmsOfCaller = 8

/** Time in which nodes start and hear each other, in milliseconds. */
const startMs = 3_000

/** Time under load after everything has recovered, in milliseconds. */
const calmMs = 2_500

/** Plays one run: starts everything, lets the faults strike under load, and waits until all has recovered. */
export async function play (options: RunOptions): Promise<Run> {
  mkdirSync(options.folder, { recursive: true })
  const seen = Sightings.create()
  const places = createPlaces(options.vms, options.net)
  const storeIp = `127.${options.net * 3 + 2}.250.1`
  const onMessage = (message: FromProcess): void => { seen.take(message) }
  const child = (name: string): { log: string, onMessage: (message: FromProcess) => void, onStrayEnd: (how: string) => void } => ({
    log: join(options.folder, `${name}.log`), onMessage, onStrayEnd: how => { seen.strayEnds.push({ process: name, at: now(), how }) }
  })
  const store = await Child.createPart('store', { ...child('store'), args: [storeIp, String(ports.store)] })
  const operator = Operator.create(store)
  seen.operator = operator
  operator.configure()
  const datagrams = await DatagramRelay.create(places)
  const vms = await Promise.all(places.map(async place => await Vm.create({ place, folder: options.folder, storeIp, operator, onMessage, onStrayEnd: end => { seen.strayEnds.push(end) } })))
  await sleep(startMs)
  const callers = await Promise.all(Array.from({ length: Math.ceil(options.vms / vmsOfCaller) }, async (_, index) => {
    const part = await Child.createPart('callers', { ...child(`callers-${index}`), args: [] })
    const own = places.slice(index * vmsOfCaller, (index + 1) * vmsOfCaller).map(place => ({ index: place.index, ip: place.ip }))
    part.send({ vms: own, perSecond: options.perSecond } satisfies ToCallers)
    return part
  }))
  const plan = drawPlan(options)
  await strikeAll(plan, { vms, store, operator, datagrams, disturbances: seen.disturbances })
  const calmAt = now()
  await sleep(recoveryMs + calmMs)
  await Promise.all([...callers, store].map(async part => { await part.kill() }))
  await Promise.all(vms.map(async vm => { await vm.close() }))
  datagrams.close()
  return { plan, observation: seen.finish(calmAt) }
}

async function strikeAll (plan: readonly Fault[], field: Parameters<typeof strike>[1]): Promise<void> {
  const startedAt = now()
  await Promise.all(plan.map(async fault => {
    await sleep(Math.max(0, startedAt + fault.at - now()))
    await strike(fault, field)
  }))
}

/** Collects what all processes of a run tell. */
class Sightings {
  readonly disturbances: Disturbance[] = []
  readonly strayEnds: StrayEnd[] = []
  operator: Operator | undefined
  private readonly events: HistoryEvent[] = []
  private readonly told: Told[] = []
  private readonly works: Work[] = []

  private constructor () {}

  static create (): Sightings {
    return new Sightings()
  }

  take (message: FromProcess): void {
    switch (message.kind) {
      case 'event':
        this.events.push(message.event)
        break
      case 'told':
        this.told.push(message.told)
        break
      case 'work':
        this.works.push(message.work)
        break
      case 'acknowledged':
        this.operator?.acknowledge(message.order, message.at)
        break
      case 'ready':
    }
  }

  /** Puts what different processes told in the order in which it happened. */
  finish (calmAt: number): Observation {
    const history = [...this.events].sort((one, other) => one.at - other.at)
    history.push({ kind: 'history-ended', at: now() })
    return {
      history,
      told: this.told,
      works: this.works,
      configurations: this.operator?.configurations ?? [],
      leavings: this.operator?.leavings ?? [],
      disturbances: this.disturbances,
      strayEnds: this.strayEnds,
      calmAt
    }
  }
}
