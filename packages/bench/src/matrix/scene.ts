import { setTimeout as sleep } from 'node:timers/promises'
import type { CallKind, Sending } from './caller.js'
import { bodyParts } from './caller.js'
import { chooseDeadline, strike } from './faults.js'
import type { FaultName } from './faults.js'
import type { StepName } from './steps.js'
import { World } from './world.js'

/** Work of the calls that fill every slot, in milliseconds. */
const blockerMs = 60

/** Time in which upstreams start, in milliseconds. */
const startMs = 20

/** Slots of one target in the matrix. */
const slots = 3

/** A fault that waits for its step. */
export interface Planned {
  readonly fault: FaultName
  readonly step: StepName
}

/** A world in which planned faults strike as soon as the struck call reaches their steps. */
export class Scene {
  /** Planned faults that have struck. */
  readonly struck: Planned[] = []
  readonly world: World
  private readonly planned: Planned[]
  private call = ''
  /** The only target that takes new work, where others were drained. */
  private open: string | undefined
  private armed = false

  private constructor (planned: readonly Planned[], world: World) {
    this.planned = [...planned]
    this.world = world
  }

  /** Brings a world of three targets into the state that the steps need. */
  static async create (planned: readonly Planned[], seed: number): Promise<Scene> {
    const holder: { scene?: Scene } = {}
    const world = await World.create({ size: 3, seed, callMs: chooseDeadline(planned.map(({ fault }) => fault)) }, {
      connected: target => { holder.scene?.reach('connect', target) },
      upstreamConnected: target => { holder.scene?.reach('while-starting', target) },
      forward: (target, text) => { holder.scene?.watchRequest(target, text) },
      back: (target, text) => { if (/auburnturn-verdict: not-run/i.test(text)) holder.scene?.reach('between-attempts', target) },
      point: (point, sending, target) => {
        if (holder.scene?.isStruck(sending) !== true) return
        if (point === 'running') holder.scene.reach('while-draining', target)
        holder.scene.reach(point, target)
      }
    })
    const scene = new Scene(planned, world)
    holder.scene = scene
    return scene
  }

  /** Faults strike when a sending of `call` reaches their steps. */
  async arm (call: string, ticket?: string): Promise<void> {
    this.call = call
    if (this.has('queued')) await this.fillSlots()
    // A ticketed call goes to its target also when that has said that it leaves.
    if (ticket !== undefined && this.has('between-attempts')) this.drainAllButOne(this.world.targets.find(({ id }) => ticket.startsWith(`${id}.`))?.id ?? '')
    if (this.has('while-starting')) this.delayStart()
    this.armed = true
    if (this.has('queued')) this.watchQueues().catch(() => {})
  }

  private has (step: StepName): boolean {
    return this.planned.some(planned => planned.step === step)
  }

  private isStruck (sending: string): boolean {
    return sending.startsWith(`${this.call}/`)
  }

  private reach (step: StepName, target: string): void {
    if (!this.armed) return
    for (const planned of this.planned.filter(candidate => candidate.step === step)) {
      this.planned.splice(this.planned.indexOf(planned), 1)
      this.struck.push(planned)
      if (step === 'while-draining') this.world.shutDown(target)
      strike(planned.fault, this.world, step === 'between-attempts' ? this.open ?? target : target, this.call)
    }
  }

  private watchRequest (target: string, text: string): void {
    const isHead = text.includes(`x-sending: ${this.call}/`)
    const isBetweenNodes = /auburnturn-service:/i.test(text)
    if (isHead && isBetweenNodes && this.open === undefined && this.has('between-attempts')) this.drainAllButOne(target)
    if (isHead) this.reach('send-head', target)
    if (text.includes(bodyParts[1]) || (isHead && text.startsWith('GET'))) this.reach('send-body', target)
  }

  /** Occupies every slot of every target for a while. */
  private async fillSlots (): Promise<void> {
    const { targets, caller, recording } = this.world
    for (const { id, node } of targets) {
      for (let count = 0; count < slots; count++) {
        const call = `blocker-of-${this.call}-${id}-${count}`
        caller.send({ name: `${call}/1`, call, kind: 'plain', ip: this.world.ip, port: node.peersPort, path: '/', timeoutMs: this.world.callMs, headers: { 'auburnturn-service': 'orders', 'x-work-ms': String(blockerMs) } }).catch(() => {})
      }
    }
    const areRunning = (): boolean => recording.events.filter(({ kind }) => kind === 'execution-started').length >= targets.length * slots
    for (let turn = 0; turn < 200 && !areRunning(); turn++) await sleep(1)
  }

  private async watchQueues (): Promise<void> {
    for (let turn = 0; turn < 400; turn++) {
      const queued = this.world.targets.find(({ node }) => (node.dump().admission as { queued: number }).queued > 0)
      if (queued !== undefined) {
        this.reach('queued', queued.id)
        return
      }
      await sleep(1)
    }
  }

  /** Leaves one target open, which isn't the one that the struck call is about to reach; no other node has heard of it yet. */
  private drainAllButOne (reached: string): void {
    const { targets } = this.world
    this.open = targets.filter(({ id }) => id !== reached).at(-1)?.id
    for (const { id, node } of targets) if (id !== this.open) node.drain().catch(() => {})
  }

  /** Every upstream accepts connections but does nothing yet, as while it starts. */
  private delayStart (): void {
    for (const { upstreamLink } of this.world.targets) {
      upstreamLink.hold()
      setTimeout(() => { upstreamLink.release() }, startMs)
    }
  }
}

/** A sending of a call through one of the scene's nodes. */
export function createSending (world: World, call: string, kind: CallKind, number: number, nodeIndex: number, ticket?: string): Sending {
  const node = world.targets[nodeIndex % world.targets.length]?.node
  return {
    name: `${call}/${number}`,
    call,
    kind,
    ip: world.ip,
    port: node?.callersPort ?? 0,
    path: '/~orders/place',
    timeoutMs: world.callMs,
    ...(ticket === undefined ? {} : { headers: { 'auburnturn-ticket': ticket } })
  }
}
