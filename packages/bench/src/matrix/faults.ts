import { newWorkMs } from './test-cluster.js'
import type { TestCluster } from './test-cluster.js'

/** Faults that the matrix injects. */
export const faults = [
  'straggler', 'fail-fast', 'crash', 'drain-when-busy', 'cold-start', 'truncated-answer', 'late-answer',
  'configuration-down', 'configuration-stale', 'configuration-rolled-back', 'lagging-list', 'wrong-list',
  'pause', 'partition', 'killing-request'
] as const

/** Name of a fault in the matrix, its table and its findings. */
export type FaultName = typeof faults[number]

/** How long a partitioned, restarting or unreachable component stays unavailable, in milliseconds. */
const outageMs = 60

/** How long after the deadline of a call a delayed component resumes, in milliseconds. */
const overdueMs = 60

/** Faults that last beyond the deadline of the affected call. */
const faultsPastDeadline: readonly FaultName[] = ['straggler', 'late-answer', 'pause']

/** Whether a fault lasts beyond the deadline of the affected call. */
export function outlastsDeadline (fault: FaultName): boolean {
  return faultsPastDeadline.includes(fault)
}

/** Whether a fault makes a target drain before it leaves. */
export function isGracefulLeave (fault: FaultName): boolean {
  return fault === 'drain-when-busy' || fault === 'lagging-list'
}

/** Timeout of calls that are expected to reach their deadline, and of all other calls, in milliseconds. */
const shortCallMs = 250
const longCallMs = 3_000

/** Chooses the timeout of calls under these faults, in milliseconds. */
export function chooseCallMs (faultNames: readonly FaultName[]): number {
  return faultNames.some(outlastsDeadline) ? shortCallMs : longCallMs
}

/** Injects a fault into `target` immediately, while `call` is in flight. */
type FaultInjector = (cluster: TestCluster, target: string, call: string) => void

const faultInjectors: Readonly<Record<FaultName, FaultInjector>> = {
  straggler: (cluster, target) => { cluster.findTarget(target).upstream.injectedFaults.startDelayMs = cluster.callMs + overdueMs },
  'fail-fast': (cluster, target) => { cluster.findTarget(target).upstream.injectedFaults.failsFast = true },
  crash: (cluster, target) => {
    const { upstream, peerProxy, controlProxy, upstreamProxy } = cluster.findTarget(target)
    upstream.crash()
    for (const proxy of [peerProxy, controlProxy, upstreamProxy]) {
      proxy.stopListening()
      proxy.resetConnections()
    }
  },
  'drain-when-busy': (cluster, target) => { cluster.shutDown(target) },
  'cold-start': (cluster, target) => {
    const { upstream, upstreamProxy } = cluster.findTarget(target)
    upstream.crash()
    upstreamProxy.stopListening()
    upstreamProxy.resetConnections()
    upstream.injectedFaults.answerDelayMs = 20
    runAfter(outageMs, async () => { await upstreamProxy.resumeListening() })
  },
  'truncated-answer': (cluster, target) => { cluster.findTarget(target).upstream.injectedFaults.truncatesAnswers = true },
  'late-answer': (cluster, target) => { cluster.findTarget(target).upstream.injectedFaults.answerDelayMs = cluster.callMs + overdueMs },
  'configuration-down': cluster => {
    cluster.publish()
    cluster.platformProxy.stopListening()
    cluster.platformProxy.resetConnections()
    runAfter(outageMs, async () => { await cluster.platformProxy.resumeListening() })
  },
  'configuration-stale': cluster => {
    cluster.platformProxy.holdTraffic()
    cluster.publish()
    runAfter(outageMs, async () => { cluster.platformProxy.releaseTraffic() })
  },
  'configuration-rolled-back': cluster => {
    cluster.publish()
    runAfter(5, async () => {
      cluster.platformProxy.setTargetPort(cluster.olderPlatform.port)
      cluster.platformProxy.resetConnections()
      offerOlderVersion(cluster)
    })
  },
  'lagging-list': (cluster, target) => {
    const { node, peerProxy } = cluster.findTarget(target)
    cluster.recorder.add({ kind: 'leave-seen', target, newWorkMs })
    node.drain()
    peerProxy.stopListening()
  },
  'wrong-list': (cluster, target) => { cluster.publishMembers(swapAddresses(cluster, target)) },
  pause: (cluster, target) => {
    cluster.recorder.add({ kind: 'target-failed', target })
    const { peerProxy, controlProxy, upstreamProxy } = cluster.findTarget(target)
    for (const proxy of [peerProxy, controlProxy, upstreamProxy]) {
      proxy.holdTraffic()
      runAfter(cluster.callMs + overdueMs, async () => { proxy.releaseTraffic() })
    }
  },
  partition: (cluster, target) => {
    cluster.recorder.add({ kind: 'target-failed', target })
    const { peerProxy, controlProxy } = cluster.findTarget(target)
    for (const proxy of [peerProxy, controlProxy]) {
      proxy.holdTraffic()
      runAfter(outageMs, async () => {
        proxy.resetConnections()
        proxy.releaseTraffic()
      })
    }
  },
  'killing-request': (cluster, _target, call) => {
    for (const { upstream } of cluster.targets) upstream.injectedFaults.crashingCall = call
  }
}

/** Injects a fault into a target of `cluster`; temporary faults end by themselves. */
export function injectFault (fault: FaultName, cluster: TestCluster, target: string, call: string): void {
  faultInjectors[fault](cluster, target, call)
}

function runAfter (delayMs: number, action: () => Promise<void>): void {
  setTimeout(() => { action().catch(() => {}) }, delayMs)
}

/** Makes every node accept the newest version, and then offers it version 1 as a peer that still holds that would. */
function offerOlderVersion (cluster: TestCluster): void {
  for (const { node } of cluster.targets) {
    node.store.accept(cluster.newestProfile, 'peer')
    node.store.accept({ key: 'profile/matrix', version: 1, text: '{}' }, 'peer')
  }
}

/** Returns a member list in which two targets have each other's addresses and the third one is missing. */
function swapAddresses (cluster: TestCluster, target: string): ReturnType<() => TestCluster['members']> {
  const [one, other] = [cluster.members.find(({ id }) => id === target), cluster.members.find(({ id }) => id !== target)]
  if (one === undefined || other === undefined) return cluster.members
  return [
    { ...one, peerPort: other.peerPort, controlPort: other.controlPort },
    { ...other, peerPort: one.peerPort, controlPort: one.controlPort }
  ]
}
