import { profileSchema } from 'auburnturn'
import type { Profile, Random } from 'auburnturn'
import { warmUpMs } from './constants.js'
import type { Scene } from './types.js'
import type { Failure, Speed } from './upstream.js'

const usual: Speed = () => ({ factor: 1, until: Infinity })
const noFailure: Failure = () => 'none'

/** How much slower a straggler is. */
const stragglerFactor = 10

/** How much slower a target is while a noisy neighbour is on its host. */
const noiseFactor = 5

/** When a lasting fault begins, in milliseconds. */
const faultAt = warmUpMs + 500

export const defaults: Profile = profileSchema.parse({})

const plain: Omit<Scene, 'name' | 'group' | 'load'> = {
  targets: 3,
  speed: () => usual,
  failure: () => noFailure,
  events: [],
  reportAgeMs: 0,
  lies: false,
  skew: 0,
  clients: 0,
  killer: false,
  profile: defaults
}

/** Three targets without any fault. */
export const plainScene: Scene = { ...plain, name: 'plain', group: 'steady', load: 0.5 }

/** One target is slow from `faultAt` on. */
function slowTarget (target: number): Speed {
  if (target !== 0) return usual
  return now => now < faultAt ? { factor: 1, until: faultAt } : { factor: 1 / stragglerFactor, until: Infinity }
}

/** A noisy neighbour that sits on one target at a time and moves every `periodMs`. */
function shiftNoise (targets: number, periodMs: number): Pick<Scene, 'speed' | 'noisyTarget'> {
  const periodOf = (now: number): number => Math.floor(now / periodMs + 1e-9)
  const noisyTarget = (now: number): number => mix(periodOf(now)) % targets
  const speed = (target: number): Speed => now => ({
    factor: noisyTarget(now) === target ? 1 / noiseFactor : 1,
    until: (periodOf(now) + 1) * periodMs
  })
  return { speed, noisyTarget }
}

/** Spreads consecutive integers evenly over 32 bits (a xor-shift-multiply hash). */
function mix (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** A target that works slowly at first and reaches its usual speed two seconds after it joins. */
function coldStart (joinAt: number): (target: number, random: Random) => Speed {
  return target => target !== 0
    ? usual
    : now => {
      const step = Math.floor((now - joinAt) / 200)
      return step >= 10 ? { factor: 1, until: Infinity } : { factor: Math.max(0.1, step / 10), until: joinAt + (step + 1) * 200 }
    }
}

const failFast: Scene['failure'] = target => now => target === 0 && now >= faultAt ? 'fail-fast' : 'none'

function forSizes (make: (targets: number) => Scene): Scene[] {
  return [3, 4].map(make)
}

/** Every scene, at the brief's sizes. */
export const scenes: readonly Scene[] = [
  ...[0.5, 0.7, 0.9].flatMap(load => forSizes(targets => ({ ...plain, name: `steady ${load * 100}%, ${targets} targets`, group: 'steady', load, targets }))),
  ...forSizes(targets => ({ ...plain, name: `straggler 10x, ${targets} targets`, group: 'shifting', load: 0.5, targets, speed: slowTarget })),
  ...[5, 20, 100].flatMap(period => forSizes((targets): Scene => ({ ...plain, name: `noisy every ${period} ms, ${targets} targets`, group: 'shifting', load: 0.5, targets, ...shiftNoise(targets, period) }))),
  ...forSizes(targets => ({ ...plain, name: `fail-fast, ${targets} targets`, group: 'failing', load: 0.5, targets, failure: failFast })),
  ...forSizes(targets => ({ ...plain, name: `drain when busy, ${targets} targets`, group: 'failing', load: 0.6, targets, events: [{ at: faultAt, what: 'drain', target: 0 }] })),
  ...forSizes(targets => ({ ...plain, name: `cold start, ${targets} targets`, group: 'failing', load: 0.5, targets, speed: coldStart(faultAt), events: [{ at: faultAt, what: 'join', target: 0 }] })),
  ...forSizes(targets => ({ ...plain, name: `peak 130%, ${targets} targets`, group: 'overload', load: 1.3, targets })),
  ...[0, 10, 100, 1000].map((age): Scene => ({ ...plain, name: `reports ${age} ms old`, group: 'reports', load: 0.8, targets: 4, reportAgeMs: age })),
  { ...plain, name: 'reports that lie', group: 'reports', load: 0.8, targets: 4, lies: true },
  { ...plain, name: 'crashing request resent', group: 'crashing', load: 0.4, targets: 4, killer: true },
  { ...plain, name: 'callers enter unevenly', group: 'uneven', load: 0.6, targets: 4, skew: 0.7 }
]

/** Many callers that embed a router, each with few calls: probes tell them most. */
export const budgetScenes: readonly Scene[] = [
  { ...plain, name: 'steady 70%, 24 embedded routers', group: 'steady', load: 0.7, targets: 4, clients: 24 },
  { ...plain, name: 'noisy every 100 ms, 24 embedded routers', group: 'shifting', load: 0.5, targets: 4, clients: 24, ...shiftNoise(4, 100) }
]

/** The scene with another measuring budget, as a multiple of the default. */
export function withBudget (scene: Scene, multiple: number): Scene {
  const { messagesPerSecond, bytesPerSecond, coreShare } = defaults.measuring
  const measuring = { messagesPerSecond: messagesPerSecond * multiple, bytesPerSecond: bytesPerSecond * multiple, coreShare: Math.min(1, coreShare * multiple) }
  return { ...scene, profile: { ...scene.profile, measuring } }
}

/** The scene with another threshold below which a node runs calls itself. */
export function withLocalBelow (scene: Scene, localBelow: number): Scene {
  return { ...scene, profile: { ...scene.profile, admission: { ...scene.profile.admission, localBelow } } }
}
