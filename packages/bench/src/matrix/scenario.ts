import { setTimeout as sleep } from 'node:timers/promises'
import type { CallKind, CallRequest } from './caller.js'
import { bodyParts } from './caller.js'
import { chooseCallMs, injectFault } from './faults.js'
import type { FaultName } from './faults.js'
import type { StepName } from './steps.js'
import { TestCluster } from './test-cluster.js'

/** Duration of the calls that fill every slot, in milliseconds. */
const blockerWorkMs = 60

/** Simulated start time of an upstream, in milliseconds. */
const upstreamStartMs = 20

/** Slots of a target, as in the profile of the test cluster. */
const slotsPerTarget = 3

/** A fault to be injected when the call under test reaches a step. */
export interface PlannedFault {
  readonly fault: FaultName
  readonly step: StepName
}

/** Test cluster into which planned faults are injected as soon as the call under test reaches their steps. */
export class Scenario {
  /** Planned faults that have been injected. */
  readonly injected: PlannedFault[] = []
  readonly cluster: TestCluster
  private readonly pendingFaults: PlannedFault[]
  private callUnderTest = ''
  /** The only target that accepts new work, if the others were drained. */
  private openTarget: string | undefined
  private armed = false

  private constructor (plannedFaults: readonly PlannedFault[], cluster: TestCluster) {
    this.pendingFaults = [...plannedFaults]
    this.cluster = cluster
  }

  /** Starts a cluster of three targets and observes it, so that faults can be injected at their steps. */
  static async create (plannedFaults: readonly PlannedFault[], seed: number): Promise<Scenario> {
    const holder: { scenario?: Scenario } = {}
    const cluster = await TestCluster.create({ size: 3, seed, callMs: chooseCallMs(plannedFaults.map(({ fault }) => fault)) }, {
      onConnection: target => { holder.scenario?.injectFaultsAt('connect', target) },
      onUpstreamConnection: target => { holder.scenario?.injectFaultsAt('while-starting', target) },
      onRequestData: (target, text) => { holder.scenario?.observeRequest(target, text) },
      onResponseData: (target, text) => { if (/auburnturn-verdict: not-run/i.test(text)) holder.scenario?.injectFaultsAt('between-attempts', target) },
      onExecutionPoint: (point, requestName, target) => {
        if (holder.scenario?.isCallUnderTest(requestName) !== true) return
        if (point === 'running') holder.scenario.injectFaultsAt('while-draining', target)
        holder.scenario.injectFaultsAt(point, target)
      }
    })
    const scenario = new Scenario(plannedFaults, cluster)
    holder.scenario = scenario
    return scenario
  }

  /** Prepares the cluster for the planned steps; from then on, faults are injected when a request of `call` reaches them. */
  async arm (call: string, ticket?: string): Promise<void> {
    this.callUnderTest = call
    if (this.hasPendingFault('queued')) await this.fillSlots()
    // A ticketed call goes to its target even if that target has announced that it is leaving.
    if (ticket !== undefined && this.hasPendingFault('between-attempts')) this.drainAllButOne(this.cluster.targets.find(({ id }) => ticket.startsWith(`${id}.`))?.id ?? '')
    if (this.hasPendingFault('while-starting')) this.delayUpstreamStart()
    this.armed = true
    if (this.hasPendingFault('queued')) this.waitForQueuedCall().catch(() => {})
  }

  private hasPendingFault (step: StepName): boolean {
    return this.pendingFaults.some(planned => planned.step === step)
  }

  private isCallUnderTest (requestName: string): boolean {
    return requestName.startsWith(`${this.callUnderTest}/`)
  }

  /** Injects the pending faults of a step; does nothing before `arm` has prepared the cluster. */
  private injectFaultsAt (step: StepName, target: string): void {
    if (!this.armed) return
    for (const planned of this.pendingFaults.filter(candidate => candidate.step === step)) {
      this.pendingFaults.splice(this.pendingFaults.indexOf(planned), 1)
      this.injected.push(planned)
      if (step === 'while-draining') this.cluster.shutDown(target)
      injectFault(planned.fault, this.cluster, step === 'between-attempts' ? this.openTarget ?? target : target, this.callUnderTest)
    }
  }

  /** Detects from the bytes of a request which of its steps the call under test has reached. */
  private observeRequest (target: string, text: string): void {
    const isHead = text.includes(`x-sending: ${this.callUnderTest}/`)
    const isBetweenNodes = /auburnturn-service:/i.test(text)
    if (isHead && isBetweenNodes && this.openTarget === undefined && this.hasPendingFault('between-attempts')) this.drainAllButOne(target)
    if (isHead) this.injectFaultsAt('send-head', target)
    if (text.includes(bodyParts[1]) || (isHead && text.startsWith('GET'))) this.injectFaultsAt('send-body', target)
  }

  /** Occupies every slot of every target for `blockerWorkMs`, and waits until the calls are running. */
  private async fillSlots (): Promise<void> {
    const { targets, caller, recorder } = this.cluster
    for (const { id, node } of targets) {
      for (let count = 0; count < slotsPerTarget; count++) {
        const call = `blocker-of-${this.callUnderTest}-${id}-${count}`
        caller.send({ name: `${call}/1`, call, kind: 'plain', ip: this.cluster.ip, port: node.peersPort, path: '/', timeoutMs: this.cluster.callMs, headers: { 'auburnturn-service': 'orders', 'x-work-ms': String(blockerWorkMs) } }).catch(() => {})
      }
    }
    const areRunning = (): boolean => recorder.events.filter(({ kind }) => kind === 'execution-started').length >= targets.length * slotsPerTarget
    for (let poll = 0; poll < 200 && !areRunning(); poll++) await sleep(1)
  }

  /** Polls the targets until a call is queued at one of them, and then injects the faults of that step. */
  private async waitForQueuedCall (): Promise<void> {
    for (let poll = 0; poll < 400; poll++) {
      const queued = this.cluster.targets.find(({ node }) => (node.dump().admission as { queued: number }).queued > 0)
      if (queued !== undefined) {
        this.injectFaultsAt('queued', queued.id)
        return
      }
      await sleep(1)
    }
  }

  /**
   * Drains every target except one, which is not the target that the call under test is about to reach. The other nodes have
   * not received a report of the drains yet.
   */
  private drainAllButOne (nextTarget: string): void {
    const { targets } = this.cluster
    this.openTarget = targets.filter(({ id }) => id !== nextTarget).at(-1)?.id
    for (const { id, node } of targets) if (id !== this.openTarget) node.drain().catch(() => {})
  }

  /** Makes every upstream accept connections without responding until `upstreamStartMs` have passed. */
  private delayUpstreamStart (): void {
    for (const { upstreamProxy } of this.cluster.targets) {
      upstreamProxy.holdTraffic()
      setTimeout(() => { upstreamProxy.releaseTraffic() }, upstreamStartMs)
    }
  }
}

/** Creates a request of a call, to be sent through one node of the cluster. */
export function createCallRequest (cluster: TestCluster, call: string, kind: CallKind, requestIndex: number, nodeIndex: number, ticket?: string): CallRequest {
  const node = cluster.targets[nodeIndex % cluster.targets.length]?.node
  return {
    name: `${call}/${requestIndex}`,
    call,
    kind,
    ip: cluster.ip,
    port: node?.callersPort ?? 0,
    path: '/~orders/place',
    timeoutMs: cluster.callMs,
    ...(ticket === undefined ? {} : { headers: { 'auburnturn-ticket': ticket } })
  }
}
