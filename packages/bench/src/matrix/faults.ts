import { newWorkMs } from './world.js'
import type { World } from './world.js'

/** Everything that fails, as the brief lists it. */
export const faults = [
  'straggler', 'fail-fast', 'crash', 'drain-when-busy', 'cold-start', 'truncated-answer', 'late-answer',
  'configuration-down', 'configuration-stale', 'configuration-rolled-back', 'lagging-list', 'wrong-list',
  'pause', 'partition', 'killing-request'
] as const

export type FaultName = typeof faults[number]

/** How long a paused, parted or restarting part stays away, in milliseconds. */
const awayMs = 60

/** How far past the deadline of a call something is late, in milliseconds. */
const overdueMs = 60

/** Faults that last beyond the deadline of a call. */
const lasting: readonly FaultName[] = ['straggler', 'late-answer', 'pause']

export function isLasting (fault: FaultName): boolean {
  return lasting.includes(fault)
}

/** Whether a target leaves in good order. */
export function isLeave (fault: FaultName): boolean {
  return fault === 'drain-when-busy' || fault === 'lagging-list'
}

/** Deadline of calls that run into it, and of all others, in milliseconds. */
const shortCallMs = 250
const longCallMs = 3_000

/** The deadline of calls under these faults, in milliseconds. */
export function chooseDeadline (planned: readonly FaultName[]): number {
  return planned.some(isLasting) ? shortCallMs : longCallMs
}

/** A fault strikes `target` now, while `call` is under way. */
type Strike = (world: World, target: string, call: string) => void

const strikes: Readonly<Record<FaultName, Strike>> = {
  straggler: (world, target) => { world.find(target).upstream.misbehaviour.startDelayMs = world.callMs + overdueMs },
  'fail-fast': (world, target) => { world.find(target).upstream.misbehaviour.failsFast = true },
  crash: (world, target) => {
    const { upstream, peerLink, controlLink, upstreamLink } = world.find(target)
    upstream.crash()
    for (const link of [peerLink, controlLink, upstreamLink]) {
      link.refuse()
      link.cut()
    }
  },
  'drain-when-busy': (world, target) => { world.shutDown(target) },
  'cold-start': (world, target) => {
    const { upstream, upstreamLink } = world.find(target)
    upstream.crash()
    upstreamLink.refuse()
    upstreamLink.cut()
    upstream.misbehaviour.answerDelayMs = 20
    later(awayMs, async () => { await upstreamLink.restore() })
  },
  'truncated-answer': (world, target) => { world.find(target).upstream.misbehaviour.truncates = true },
  'late-answer': (world, target) => { world.find(target).upstream.misbehaviour.answerDelayMs = world.callMs + overdueMs },
  'configuration-down': world => {
    world.publish()
    world.platformLink.refuse()
    world.platformLink.cut()
    later(awayMs, async () => { await world.platformLink.restore() })
  },
  'configuration-stale': world => {
    world.platformLink.hold()
    world.publish()
    later(awayMs, async () => { world.platformLink.release() })
  },
  'configuration-rolled-back': world => {
    world.publish()
    later(5, async () => {
      world.platformLink.pointTo(world.olderPlatform.port)
      world.platformLink.cut()
      offerOlder(world)
    })
  },
  'lagging-list': (world, target) => {
    const { node, peerLink } = world.find(target)
    world.recording.add({ kind: 'leave-seen', target, newWorkMs })
    node.drain()
    peerLink.refuse()
  },
  'wrong-list': (world, target) => { world.publishMembers(swapAddresses(world, target)) },
  pause: (world, target) => {
    world.recording.add({ kind: 'target-failed', target })
    const { peerLink, controlLink, upstreamLink } = world.find(target)
    for (const link of [peerLink, controlLink, upstreamLink]) {
      link.hold()
      later(world.callMs + overdueMs, async () => { link.release() })
    }
  },
  partition: (world, target) => {
    world.recording.add({ kind: 'target-failed', target })
    const { peerLink, controlLink } = world.find(target)
    for (const link of [peerLink, controlLink]) {
      link.hold()
      later(awayMs, async () => {
        link.cut()
        link.release()
      })
    }
  },
  'killing-request': (world, _target, call) => {
    for (const { upstream } of world.targets) upstream.misbehaviour.killedBy = call
  }
}

/** Strikes a target of `world` with a fault; it heals by itself where such faults do. */
export function strike (fault: FaultName, world: World, target: string, call: string): void {
  strikes[fault](world, target, call)
}

function later (milliseconds: number, action: () => Promise<void>): void {
  setTimeout(() => { action().catch(() => {}) }, milliseconds)
}

/** Every node has heard of the newest version when a peer that still holds the older one offers that. */
function offerOlder (world: World): void {
  for (const { node } of world.targets) {
    node.store.accept(world.newestProfile, 'peer')
    node.store.accept({ key: 'profile/matrix', version: 1, text: '{}' }, 'peer')
  }
}

/** Two targets with each other's addresses, and a third one missing. */
function swapAddresses (world: World, target: string): ReturnType<() => World['members']> {
  const [one, other] = [world.members.find(({ id }) => id === target), world.members.find(({ id }) => id !== target)]
  if (one === undefined || other === undefined) return world.members
  return [
    { ...one, peerPort: other.peerPort, controlPort: other.controlPort },
    { ...other, peerPort: one.peerPort, controlPort: one.controlPort }
  ]
}
