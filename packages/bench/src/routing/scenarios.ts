import { profileSchema } from 'auburnturn'
import type { Profile, Random } from 'auburnturn'
import { warmUpMs } from './constants.js'
import type { Scenario } from './types.js'
import type { FailureSchedule, SpeedSchedule } from './simulated-upstream.js'

const usualSpeed: SpeedSchedule = () => ({ relativeSpeed: 1, validUntil: Infinity })
const noFailure: FailureSchedule = () => 'none'

/** Factor by which a straggler is slower than usual. */
const stragglerSlowdown = 10

/** Factor by which a target is slower while a noisy neighbour is on its host. */
const noisyNeighbourSlowdown = 5

/** Start of a lasting fault, in milliseconds from the start of the run. */
const faultStartMs = warmUpMs + 500

/** A profile with all settings at their defaults. */
export const defaultProfile: Profile = profileSchema.parse({})

const baseScenario: Omit<Scenario, 'name' | 'group' | 'offeredLoad'> = {
  targetCount: 3,
  createSpeedSchedule: () => usualSpeed,
  createFailureSchedule: () => noFailure,
  events: [],
  reportAgeMs: 0,
  falseReports: false,
  firstNodeShare: 0,
  embeddedRouterCount: 0,
  resendsCrashingRequest: false,
  profile: defaultProfile
}

/** Three targets without faults. */
export const faultlessScenario: Scenario = { ...baseScenario, name: 'plain', group: 'steady', offeredLoad: 0.5 }

/** Makes the first target slow from `faultStartMs` on. */
function createStragglerSchedule (targetIndex: number): SpeedSchedule {
  if (targetIndex !== 0) return usualSpeed
  return now => now < faultStartMs ? { relativeSpeed: 1, validUntil: faultStartMs } : { relativeSpeed: 1 / stragglerSlowdown, validUntil: Infinity }
}

/** A noisy neighbour that slows one target at a time; every `periodMs` it moves to a pseudo-random target. */
function createNoisyNeighbour (targetCount: number, periodMs: number): Pick<Scenario, 'createSpeedSchedule' | 'findNoisyTarget'> {
  const findPeriod = (now: number): number => Math.floor(now / periodMs + 1e-9)
  const findNoisyTarget = (now: number): number => hashInteger(findPeriod(now)) % targetCount
  const createSpeedSchedule = (targetIndex: number): SpeedSchedule => now => ({
    relativeSpeed: findNoisyTarget(now) === targetIndex ? 1 / noisyNeighbourSlowdown : 1,
    validUntil: (findPeriod(now) + 1) * periodMs
  })
  return { createSpeedSchedule, findNoisyTarget }
}

/** Spreads consecutive integers evenly over 32 bits (a xor-shift-multiply hash). */
function hashInteger (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** The first target starts slowly and reaches its usual speed two seconds after it joins. */
function createColdStart (joinAtMs: number): (targetIndex: number, random: Random) => SpeedSchedule {
  return targetIndex => targetIndex !== 0
    ? usualSpeed
    : now => {
      const step = Math.floor((now - joinAtMs) / 200)
      return step >= 10 ? { relativeSpeed: 1, validUntil: Infinity } : { relativeSpeed: Math.max(0.1, step / 10), validUntil: joinAtMs + (step + 1) * 200 }
    }
}

const createFailFastSchedule: Scenario['createFailureSchedule'] = targetIndex => now => targetIndex === 0 && now >= faultStartMs ? 'fail-fast' : 'none'

function forFleetSizes (createScenario: (targetCount: number) => Scenario): Scenario[] {
  return [3, 4].map(createScenario)
}

/** All scenarios, most of them for fleets of both three and four targets. */
export const scenarios: readonly Scenario[] = [
  ...[0.5, 0.7, 0.9].flatMap(offeredLoad => forFleetSizes(targetCount => ({ ...baseScenario, name: `steady ${offeredLoad * 100}%, ${targetCount} targets`, group: 'steady', offeredLoad, targetCount }))),
  ...forFleetSizes(targetCount => ({ ...baseScenario, name: `straggler 10x, ${targetCount} targets`, group: 'shifting', offeredLoad: 0.5, targetCount, createSpeedSchedule: createStragglerSchedule })),
  ...[5, 20, 100].flatMap(periodMs => forFleetSizes((targetCount): Scenario => ({ ...baseScenario, name: `noisy every ${periodMs} ms, ${targetCount} targets`, group: 'shifting', offeredLoad: 0.5, targetCount, ...createNoisyNeighbour(targetCount, periodMs) }))),
  ...forFleetSizes(targetCount => ({ ...baseScenario, name: `fail-fast, ${targetCount} targets`, group: 'failing', offeredLoad: 0.5, targetCount, createFailureSchedule: createFailFastSchedule })),
  ...forFleetSizes(targetCount => ({ ...baseScenario, name: `drain when busy, ${targetCount} targets`, group: 'failing', offeredLoad: 0.6, targetCount, events: [{ atMs: faultStartMs, kind: 'drain', targetIndex: 0 }] })),
  ...forFleetSizes(targetCount => ({ ...baseScenario, name: `cold start, ${targetCount} targets`, group: 'failing', offeredLoad: 0.5, targetCount, createSpeedSchedule: createColdStart(faultStartMs), events: [{ atMs: faultStartMs, kind: 'join', targetIndex: 0 }] })),
  ...forFleetSizes(targetCount => ({ ...baseScenario, name: `peak 130%, ${targetCount} targets`, group: 'overload', offeredLoad: 1.3, targetCount })),
  ...[0, 10, 100, 1000].map((ageMs): Scenario => ({ ...baseScenario, name: `reports ${ageMs} ms old`, group: 'reports', offeredLoad: 0.8, targetCount: 4, reportAgeMs: ageMs })),
  { ...baseScenario, name: 'reports that lie', group: 'reports', offeredLoad: 0.8, targetCount: 4, falseReports: true },
  { ...baseScenario, name: 'crashing request resent', group: 'crashing', offeredLoad: 0.4, targetCount: 4, resendsCrashingRequest: true },
  { ...baseScenario, name: 'callers enter unevenly', group: 'uneven', offeredLoad: 0.6, targetCount: 4, firstNodeShare: 0.7 }
]

/** Many embedded routers with few calls each. These gain the most from probes. */
export const budgetScenarios: readonly Scenario[] = [
  { ...baseScenario, name: 'steady 70%, 24 embedded routers', group: 'steady', offeredLoad: 0.7, targetCount: 4, embeddedRouterCount: 24 },
  { ...baseScenario, name: 'noisy every 100 ms, 24 embedded routers', group: 'shifting', offeredLoad: 0.5, targetCount: 4, embeddedRouterCount: 24, ...createNoisyNeighbour(4, 100) }
]

/** Copies a scenario with a measuring budget that is a multiple of the default. */
export function withMeasuringBudget (scenario: Scenario, multiple: number): Scenario {
  const { messagesPerSecond, bytesPerSecond, coreShare } = defaultProfile.measuring
  const measuring = { messagesPerSecond: messagesPerSecond * multiple, bytesPerSecond: bytesPerSecond * multiple, coreShare: Math.min(1, coreShare * multiple) }
  return { ...scenario, profile: { ...scenario.profile, measuring } }
}

/** Copies a scenario with another load threshold below which a node runs calls itself. */
export function withLocalBelow (scenario: Scenario, localBelow: number): Scenario {
  return { ...scenario, profile: { ...scenario.profile, admission: { ...scenario.profile.admission, localBelow } } }
}
