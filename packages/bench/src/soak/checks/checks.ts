import { checkHistory } from 'auburnturn'
import { applyMs, callerWaitMs, drainMs, maxAttempts, recoveryMs, retryAllowance, retryRatio, retryWindowMs, routeTimeoutMs, tellingMs } from '../constants.js'
import type { Acknowledged, Check, Observation, Told, Work } from '../types.js'
import { isCalm, isUnharmed } from './calm.js'

/** The promises that the history checker of the library knows: whole answers, true refusals, at most once. */
const checkLibraryRules: Check = ({ history }) => checkHistory(history).map(({ rule, detail }) => ({ rule, detail }))

/** A target that has left gets no new work once nodes had time to learn of it. */
const checkDrain: Check = observation => observation.works.flatMap(work => {
  const leaving = observation.leavings.find(({ target }) => target === work.target)
  const told = toldOf(observation).get(work.sending)
  if (leaving === undefined || told === undefined || work.at <= leaving.at + drainMs + tellingMs) return []
  // Taken before, it may have waited at the target's node.
  if (told.sentAt <= leaving.at + drainMs) return []
  if (!isCalm(observation.disturbances, [told.vm, 'store'], leaving.at, work.at) || isDown(observation, work)) return []
  return [{ rule: 'no-work-after-leave', detail: `${work.sending} reached ${work.target} ${Math.round(work.at - leaving.at)} ms after its leaving` }]
})

/** The node beside a target may itself have been disturbed. */
function isDown ({ disturbances }: Observation, { vm, at }: Work): boolean {
  return disturbances.some(({ place, from, to, planned }) => place === vm && !planned && from <= at && to >= at - drainMs)
}

/** A configuration is in force in time, and no older one after it. */
const checkConfiguration: Check = observation => observation.told.flatMap(told => {
  if (!isCalm(observation.disturbances, [told.vm, 'store'], told.sentAt - applyMs, told.endedAt)) return []
  const allowed = findAllowed(observation.configurations, told)
  const work = worksOf(observation).get(told.sending)?.[0]
  const handled = work?.service ?? (told.result === 404 ? undefined : 'unknown')
  if (handled === 'unknown' || allowed.some(({ routes }) => routes.get(told.path) === handled)) return []
  return [{ rule: 'configuration-in-force', detail: `${told.sending} to ${told.path} was handled as ${handled ?? '404'}; versions that may be in force: ${allowed.map(({ version }) => version).join(', ')}` }]
})

/** The newest version that has to be in force when a request is sent, and all after it up to its end. */
function findAllowed (configurations: readonly Acknowledged[], { sentAt, endedAt }: Told): Acknowledged[] {
  const due = configurations.filter(({ at }) => at + applyMs < sentAt).at(-1)?.version ?? 0
  return configurations.filter(({ version, sentAt: at }) => version >= due && at <= endedAt)
}

/** A request is run only by services that some configuration allows it to go to. */
const checkRoute: Check = ({ works, configurations }) => works.flatMap(({ sending, path, service, target }) => {
  const prefix = path.slice(0, path.indexOf('/', 1) + 1)
  if (configurations.some(({ routes }) => routes.get(prefix) === service)) return []
  return [{ rule: 'route', detail: `${sending} to ${path} ran at ${target} of ${service}` }]
})

/** While all work is planned, no request loses its answer. */
const checkCutAnswers: Check = observation => observation.told.flatMap(told => {
  const isLost = told.result === 'cut' || (told.result === 'cut-on-kept' && worksOf(observation).has(told.sending))
  if (!isLost || !isUnharmed(observation.disturbances, told.sentAt, told.endedAt)) return []
  return [{ rule: 'no-answer-lost', detail: `${told.sending} to ${told.path} at VM ${told.vm}: ${told.result} after ${Math.round(told.endedAt - told.sentAt)} ms` }]
})

/** A request ends at its route's timeout. */
const checkTimeout: Check = observation => observation.told.flatMap(told => {
  const tookMs = told.endedAt - told.sentAt
  if (tookMs <= routeTimeoutMs + 500 || told.result === 'unreached') return []
  if (!isCalm(observation.disturbances, [told.vm, 'store'], told.sentAt, told.endedAt)) return []
  return [{ rule: 'ends-in-time', detail: `${told.sending} to ${told.path}: ${told.result} after ${Math.round(tookMs)} ms of ${callerWaitMs}` }]
})

/** One request reaches few targets, and repeats stay within their budget in every window. */
const checkRepeats: Check = observation => {
  const { works, told } = observation
  const groups = [...worksOf(observation)]
  const many = groups.filter(([, runs]) => runs.length > maxAttempts).map(([sending, runs]) => ({ rule: 'attempts', detail: `${sending} ran ${runs.length} times` }))
  const repeats = groups.flatMap(([, runs]) => runs.slice(1))
  const over = repeats.flatMap(({ at }) => {
    const inWindow = (time: number): boolean => time > at - retryWindowMs && time <= at
    const count = repeats.filter(repeat => inWindow(repeat.at)).length
    const requests = told.filter(({ sentAt }) => inWindow(sentAt)).length
    return count > requests * retryRatio + retryAllowance ? [{ rule: 'retry-budget', detail: `${count} repeats in ${retryWindowMs} ms with ${requests} requests` }] : []
  })
  return [...many, ...over.slice(0, 1), ...(works.length === 0 ? [{ rule: 'served', detail: 'no request ran' }] : [])]
}

/** Proper requests are not refused as if they were wrong. */
const checkDenied: Check = ({ told, configurations }) => told.flatMap(({ sending, path, result, sentAt, endedAt }) => {
  if (typeof result !== 'number' || result < 400 || result >= 500 || result === 429) return []
  const isGone = result === 404 && configurations.some(({ routes, sentAt: at }, index) => !routes.has(path) && at <= endedAt && (configurations[index + 1]?.at ?? Infinity) + applyMs >= sentAt - callerWaitMs)
  return isGone || result === 404 ? [] : [{ rule: 'denied', detail: `${sending} to ${path}: ${result}` }]
})

/** Some time after the last fault, all is served. */
const checkRecovery: Check = observation => {
  const late = observation.told.filter(({ sentAt, path }) => sentAt > observation.calmAt + recoveryMs && path !== '/extra/')
  const served = late.filter(({ result }) => result === 200)
  if (late.length > 0 && served.length === late.length) return []
  const others = [...new Set(late.filter(({ result }) => result !== 200).map(({ result, path, vm }) => `${result} for ${path} at VM ${vm}`))]
  return [{ rule: 'recovery', detail: `${served.length} of ${late.length} served; ${others.slice(0, 4).join(', ')}` }]
}

/** Processes end only when they are told to, and in time. */
const checkEnds: Check = ({ strayEnds }) => strayEnds.map(({ process, how }) => ({ rule: 'ends', detail: `${process}: ${how}` }))

/** All promises that a run is held to, by the name of what is checked. */
export const checks: Readonly<Record<string, Check>> = {
  checkLibraryRules, checkDrain, checkConfiguration, checkRoute, checkCutAnswers, checkTimeout, checkRepeats, checkDenied, checkRecovery, checkEnds
}

const toldCache = new WeakMap<Observation, Map<string, Told>>()
const worksCache = new WeakMap<Observation, Map<string, Work[]>>()

function toldOf (observation: Observation): Map<string, Told> {
  const known = toldCache.get(observation) ?? new Map(observation.told.map(told => [told.sending, told]))
  toldCache.set(observation, known)
  return known
}

function worksOf (observation: Observation): Map<string, Work[]> {
  const known = worksCache.get(observation)
  if (known !== undefined) return known
  const works = new Map<string, Work[]>()
  for (const work of observation.works) works.set(work.sending, [...works.get(work.sending) ?? [], work])
  worksCache.set(observation, works)
  return works
}
