import type { Disturbance, Scene } from './types.js'

const noise = { share: 0.25, factor: 4, everyMs: 300 }

/** Short work with short limits on few targets, whose requests call a second service: at its usual load. */
const shortLimits: Scene = {
  name: 'short-limits',
  kinds: [
    { name: 'view', service: 'front', perSecond: 283, workMs: 60, objectiveMs: 200, timeoutMs: 500, priority: 2, idempotent: true, worth: 1, call: { kind: 'lookup', share: 0.7 } },
    { name: 'filing', service: 'front', perSecond: 119, workMs: 78, objectiveMs: 250, timeoutMs: 600, priority: 1, idempotent: false, worth: 2 },
    { name: 'send', service: 'back', perSecond: 89, workMs: 42, objectiveMs: 150, timeoutMs: 400, priority: 0, idempotent: false, worth: 3 },
    { name: 'fix', service: 'back', perSecond: 25, workMs: 48, objectiveMs: 150, timeoutMs: 400, priority: 2, idempotent: false, worth: 1 },
    { name: 'lookup', service: 'back', perSecond: 0, workMs: 15, objectiveMs: 80, timeoutMs: 200, priority: 1, idempotent: true, worth: 0 }
  ],
  groups: [
    { service: 'front', count: 7, slots: 11, queue: 22, noise },
    { service: 'back', count: 3, slots: 11, queue: 22, noise }
  ],
  disturbances: [],
  lengthMs: 20_000,
  hopMs: 4
}

/** Targets that name a rate limit, while the nodes beside them restart twice in a row. */
function limitedTargets (service: string, count: number, perSecond: number): Disturbance[] {
  const restart = { service, count }
  return [
    { fromMs: 3_000, toMs: 16_000, rateLimit: { service, count, perSecond } },
    { fromMs: 9_000, toMs: 9_000, restart },
    { fromMs: 10_500, toMs: 10_500, restart }
  ]
}

/** The loads that decide how well a deployment serves its callers; each is named by its pattern. */
export const scenes: readonly Scene[] = [
  shortLimits,
  { ...shortLimits, name: 'burst', disturbances: [{ fromMs: 3_000, toMs: 20_000, down: { service: 'front', count: 1 } }, { fromMs: 4_000, toMs: 10_000, load: 1.5 }] },
  { ...shortLimits, name: 'two-targets-less', disturbances: [{ fromMs: 3_000, toMs: 20_000, load: 1.15, down: { service: 'front', count: 2 } }] },
  { ...shortLimits, name: 'shedding-targets', disturbances: [{ fromMs: 3_000, toMs: 20_000, down: { service: 'front', count: 1 } }, { fromMs: 4_000, toMs: 12_000, shed: { service: 'front', share: 0.55 } }] },
  { ...shortLimits, name: 'one-sheds', disturbances: [{ fromMs: 3_000, toMs: 14_000, shed: { service: 'front', share: 0.5, count: 1 } }] },
  { ...shortLimits, name: 'back-two-less', disturbances: [{ fromMs: 3_000, toMs: 20_000, down: { service: 'back', count: 2 } }] },
  { ...shortLimits, name: 'limited-targets', disturbances: limitedTargets('front', 3, 30) },
  { ...shortLimits, name: 'limited-called-targets', disturbances: limitedTargets('back', 2, 40) },
  { ...shortLimits, name: 'back-short', disturbances: [{ fromMs: 3_000, toMs: 20_000, down: { service: 'back', count: 1 } }] }
]

/** The same scene with all times longer or shorter by a factor, slow moments and hops included, and as many fewer or more requests. */
export function scaleScene (scene: Scene, factor: number): Scene {
  const kinds = scene.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond / factor, workMs: kind.workMs * factor, objectiveMs: kind.objectiveMs * factor, timeoutMs: kind.timeoutMs * factor }))
  const disturbances = scene.disturbances.map(disturbance => ({ ...disturbance, fromMs: disturbance.fromMs * factor, toMs: disturbance.toMs * factor }))
  const groups = scene.groups.map(group => ({ ...group, noise: { ...group.noise, everyMs: group.noise.everyMs * factor } }))
  return { ...scene, name: `${scene.name} x${factor}`, kinds, groups, disturbances, lengthMs: scene.lengthMs * factor, hopMs: scene.hopMs * factor }
}
