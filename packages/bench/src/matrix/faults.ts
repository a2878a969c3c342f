import { newWorkMs } from './test-cluster.js'
import type { TestCluster } from './test-cluster.js'

/** Everything that fails, as the brief lists it. */
export const faults = [
  'straggler', 'fail-fast', 'crash', 'drain-when-busy', 'cold-start', 'truncated-answer', 'late-answer',
  'configuration-down', 'configuration-stale', 'configuration-rolled-back', 'lagging-list', 'wrong-list',
  'pause', 'partition', 'killing-request'
] as const

export type FaultName = typeof faults[number]

/** How long a paused, parted or restarting part stays away, in milliseconds. */
const outageMs = 60

/** How far past the deadline of a call something is late, in milliseconds. */
const overdueMs = 60

/** Faults that last beyond the deadline of a call. */
const faultsPastDeadline: readonly FaultName[] = ['straggler', 'late-answer', 'pause']

export function outlastsDeadline (fault: FaultName): boolean {
  return faultsPastDeadline.includes(fault)
}

/** Whether a target leaves in good order. */
export function isGracefulLeave (fault: FaultName): boolean {
  return fault === 'drain-when-busy' || fault === 'lagging-list'
}

/** Deadline of calls that run into it, and of all others, in milliseconds. */
const shortCallMs = 250
const longCallMs = 3_000

/** The deadline of calls under these faults, in milliseconds. */
export function chooseCallMs (planned: readonly FaultName[]): number {
  return planned.some(outlastsDeadline) ? shortCallMs : longCallMs
}

/** A fault strikes `target` now, while `call` is under way. */
type FaultInjector = (world: TestCluster, target: string, call: string) => void

const faultInjectors: Readonly<Record<FaultName, FaultInjector>> = {
  straggler: (world, target) => { world.findTarget(target).upstream.injectedFaults.startDelayMs = world.callMs + overdueMs },
  'fail-fast': (world, target) => { world.findTarget(target).upstream.injectedFaults.failsFast = true },
  crash: (world, target) => {
    const { upstream, peerProxy: peerLink, controlProxy: controlLink, upstreamProxy: upstreamLink } = world.findTarget(target)
    upstream.crash()
    for (const link of [peerLink, controlLink, upstreamLink]) {
      link.stopListening()
      link.resetConnections()
    }
  },
  'drain-when-busy': (world, target) => { world.shutDown(target) },
  'cold-start': (world, target) => {
    const { upstream, upstreamProxy: upstreamLink } = world.findTarget(target)
    upstream.crash()
    upstreamLink.stopListening()
    upstreamLink.resetConnections()
    upstream.injectedFaults.answerDelayMs = 20
    runAfter(outageMs, async () => { await upstreamLink.resumeListening() })
  },
  'truncated-answer': (world, target) => { world.findTarget(target).upstream.injectedFaults.truncatesAnswers = true },
  'late-answer': (world, target) => { world.findTarget(target).upstream.injectedFaults.answerDelayMs = world.callMs + overdueMs },
  'configuration-down': world => {
    world.publish()
    world.platformProxy.stopListening()
    world.platformProxy.resetConnections()
    runAfter(outageMs, async () => { await world.platformProxy.resumeListening() })
  },
  'configuration-stale': world => {
    world.platformProxy.holdTraffic()
    world.publish()
    runAfter(outageMs, async () => { world.platformProxy.releaseTraffic() })
  },
  'configuration-rolled-back': world => {
    world.publish()
    runAfter(5, async () => {
      world.platformProxy.setTargetPort(world.olderPlatform.port)
      world.platformProxy.resetConnections()
      offerOlderVersion(world)
    })
  },
  'lagging-list': (world, target) => {
    const { node, peerProxy: peerLink } = world.findTarget(target)
    world.recorder.add({ kind: 'leave-seen', target, newWorkMs })
    node.drain()
    peerLink.stopListening()
  },
  'wrong-list': (world, target) => { world.publishMembers(swapAddresses(world, target)) },
  pause: (world, target) => {
    world.recorder.add({ kind: 'target-failed', target })
    const { peerProxy: peerLink, controlProxy: controlLink, upstreamProxy: upstreamLink } = world.findTarget(target)
    for (const link of [peerLink, controlLink, upstreamLink]) {
      link.holdTraffic()
      runAfter(world.callMs + overdueMs, async () => { link.releaseTraffic() })
    }
  },
  partition: (world, target) => {
    world.recorder.add({ kind: 'target-failed', target })
    const { peerProxy: peerLink, controlProxy: controlLink } = world.findTarget(target)
    for (const link of [peerLink, controlLink]) {
      link.holdTraffic()
      runAfter(outageMs, async () => {
        link.resetConnections()
        link.releaseTraffic()
      })
    }
  },
  'killing-request': (world, _target, call) => {
    for (const { upstream } of world.targets) upstream.injectedFaults.crashingCall = call
  }
}

/** Strikes a target of `world` with a fault; it heals by itself where such faults do. */
export function injectFault (fault: FaultName, world: TestCluster, target: string, call: string): void {
  faultInjectors[fault](world, target, call)
}

function runAfter (milliseconds: number, action: () => Promise<void>): void {
  setTimeout(() => { action().catch(() => {}) }, milliseconds)
}

/** Every node has heard of the newest version when a peer that still holds the older one offers that. */
function offerOlderVersion (world: TestCluster): void {
  for (const { node } of world.targets) {
    node.store.accept(world.newestProfile, 'peer')
    node.store.accept({ key: 'profile/matrix', version: 1, text: '{}' }, 'peer')
  }
}

/** Two targets with each other's addresses, and a third one missing. */
function swapAddresses (world: TestCluster, target: string): ReturnType<() => TestCluster['members']> {
  const [one, other] = [world.members.find(({ id }) => id === target), world.members.find(({ id }) => id !== target)]
  if (one === undefined || other === undefined) return world.members
  return [
    { ...one, peerPort: other.peerPort, controlPort: other.controlPort },
    { ...other, peerPort: one.peerPort, controlPort: one.controlPort }
  ]
}
