import { setTimeout as sleep } from 'node:timers/promises'
import type { CallKind, CallRequest } from './caller.js'
import { bodyParts } from './caller.js'
import { chooseCallMs, injectFault } from './faults.js'
import type { FaultName } from './faults.js'
import type { StepName } from './steps.js'
import { TestCluster } from './test-cluster.js'

/** Work of the calls that fill every slot, in milliseconds. */
const blockerWorkMs = 60

/** Time in which upstreams start, in milliseconds. */
const upstreamStartMs = 20

/** Slots of one target in the matrix. */
const slotsPerTarget = 3

/** A fault that waits for its step. */
export interface PlannedFault {
  readonly fault: FaultName
  readonly step: StepName
}

/** A world in which planned faults strike as soon as the struck call reaches their steps. */
export class Scenario {
  /** Planned faults that have struck. */
  readonly injected: PlannedFault[] = []
  readonly cluster: TestCluster
  private readonly pendingFaults: PlannedFault[]
  private callUnderTest = ''
  /** The only target that takes new work, where others were drained. */
  private openTarget: string | undefined
  private armed = false

  private constructor (planned: readonly PlannedFault[], world: TestCluster) {
    this.pendingFaults = [...planned]
    this.cluster = world
  }

  /** Brings a world of three targets into the state that the steps need. */
  static async create (planned: readonly PlannedFault[], seed: number): Promise<Scenario> {
    const holder: { scene?: Scenario } = {}
    const world = await TestCluster.create({ size: 3, seed, callMs: chooseCallMs(planned.map(({ fault }) => fault)) }, {
      onConnection: target => { holder.scene?.injectFaultsAt('connect', target) },
      onUpstreamConnection: target => { holder.scene?.injectFaultsAt('while-starting', target) },
      onRequestData: (target, text) => { holder.scene?.observeRequest(target, text) },
      onResponseData: (target, text) => { if (/auburnturn-verdict: not-run/i.test(text)) holder.scene?.injectFaultsAt('between-attempts', target) },
      onExecutionPoint: (point, sending, target) => {
        if (holder.scene?.isCallUnderTest(sending) !== true) return
        if (point === 'running') holder.scene.injectFaultsAt('while-draining', target)
        holder.scene.injectFaultsAt(point, target)
      }
    })
    const scene = new Scenario(planned, world)
    holder.scene = scene
    return scene
  }

  /** Faults strike when a sending of `call` reaches their steps. */
  async arm (call: string, ticket?: string): Promise<void> {
    this.callUnderTest = call
    if (this.hasPendingFault('queued')) await this.fillSlots()
    // A ticketed call goes to its target also when that has said that it leaves.
    if (ticket !== undefined && this.hasPendingFault('between-attempts')) this.drainAllButOne(this.cluster.targets.find(({ id }) => ticket.startsWith(`${id}.`))?.id ?? '')
    if (this.hasPendingFault('while-starting')) this.delayUpstreamStart()
    this.armed = true
    if (this.hasPendingFault('queued')) this.waitForQueuedCall().catch(() => {})
  }

  private hasPendingFault (step: StepName): boolean {
    return this.pendingFaults.some(planned => planned.step === step)
  }

  private isCallUnderTest (sending: string): boolean {
    return sending.startsWith(`${this.callUnderTest}/`)
  }

  private injectFaultsAt (step: StepName, target: string): void {
    if (!this.armed) return
    for (const planned of this.pendingFaults.filter(candidate => candidate.step === step)) {
      this.pendingFaults.splice(this.pendingFaults.indexOf(planned), 1)
      this.injected.push(planned)
      if (step === 'while-draining') this.cluster.shutDown(target)
      injectFault(planned.fault, this.cluster, step === 'between-attempts' ? this.openTarget ?? target : target, this.callUnderTest)
    }
  }

  private observeRequest (target: string, text: string): void {
    const isHead = text.includes(`x-sending: ${this.callUnderTest}/`)
    const isBetweenNodes = /auburnturn-service:/i.test(text)
    if (isHead && isBetweenNodes && this.openTarget === undefined && this.hasPendingFault('between-attempts')) this.drainAllButOne(target)
    if (isHead) this.injectFaultsAt('send-head', target)
    if (text.includes(bodyParts[1]) || (isHead && text.startsWith('GET'))) this.injectFaultsAt('send-body', target)
  }

  /** Occupies every slot of every target for a while. */
  private async fillSlots (): Promise<void> {
    const { targets, caller, recorder: recording } = this.cluster
    for (const { id, node } of targets) {
      for (let count = 0; count < slotsPerTarget; count++) {
        const call = `blocker-of-${this.callUnderTest}-${id}-${count}`
        caller.send({ name: `${call}/1`, call, kind: 'plain', ip: this.cluster.ip, port: node.peersPort, path: '/', timeoutMs: this.cluster.callMs, headers: { 'auburnturn-service': 'orders', 'x-work-ms': String(blockerWorkMs) } }).catch(() => {})
      }
    }
    const areRunning = (): boolean => recording.events.filter(({ kind }) => kind === 'execution-started').length >= targets.length * slotsPerTarget
    for (let turn = 0; turn < 200 && !areRunning(); turn++) await sleep(1)
  }

  private async waitForQueuedCall (): Promise<void> {
    for (let turn = 0; turn < 400; turn++) {
      const queued = this.cluster.targets.find(({ node }) => (node.dump().admission as { queued: number }).queued > 0)
      if (queued !== undefined) {
        this.injectFaultsAt('queued', queued.id)
        return
      }
      await sleep(1)
    }
  }

  /** Leaves one target open, which isn't the one that the struck call is about to reach; no other node has heard of it yet. */
  private drainAllButOne (reached: string): void {
    const { targets } = this.cluster
    this.openTarget = targets.filter(({ id }) => id !== reached).at(-1)?.id
    for (const { id, node } of targets) if (id !== this.openTarget) node.drain().catch(() => {})
  }

  /** Every upstream accepts connections but does nothing yet, as while it starts. */
  private delayUpstreamStart (): void {
    for (const { upstreamProxy: upstreamLink } of this.cluster.targets) {
      upstreamLink.holdTraffic()
      setTimeout(() => { upstreamLink.releaseTraffic() }, upstreamStartMs)
    }
  }
}

/** A sending of a call through one of the scene's nodes. */
export function createCallRequest (world: TestCluster, call: string, kind: CallKind, number: number, nodeIndex: number, ticket?: string): CallRequest {
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
