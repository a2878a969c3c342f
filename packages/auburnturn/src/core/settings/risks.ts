import type { Profile } from './profile.js'
import type { NodeSettings } from './settings.js'
import type { Risk } from './types.js'

/** Methods that HTTP defines as safe to repeat without effects. */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE'])

/** Most attempts that do not multiply a long call, and from when a call is long, in milliseconds. */
const maxSafeAttempts = 2
const longCallMs = 10_000

/** Longest drain that still counts as "a few seconds", in milliseconds. */
const maxSafeDrainMs = 10_000

/** Crashes that one request may cause before it is refused. */
const maxSafeCrashes = 5

/** Retries as a share of first attempts above which a failing service draws a storm. */
const maxSafeRetryShare = 0.2

/** Choices of a profile that are valid and likely to hurt at night. */
export function findProfileRisks (profile: Profile): Risk[] {
  return [
    ...findIdempotencyRisks(profile),
    ...findRetryRisks(profile),
    ...findTimeoutRisks(profile),
    ...warnIf(profile.quarantine.crashes > maxSafeCrashes, ['quarantine', 'crashes'],
      `one request may crash ${profile.quarantine.crashes} upstreams before it is refused; ${maxSafeCrashes} or fewer is safer`),
    ...warnIf(profile.note === '', ['note'], 'the night shift has no note on what this profile is for')
  ]
}

/** Choices of a node's settings that are valid and likely to hurt. */
export function findSettingsRisks (settings: NodeSettings): Risk[] {
  return [
    ...warnIf(!isLoopback(settings.operator.ip), ['operator', 'ip'],
      'the dump can be read from outside this VM; 127.0.0.1 keeps it on the VM'),
    ...warnIf(settings.platform.length === 1, ['platform'],
      'there is one entrance to the platform; a second one keeps the configuration fresh when it is down')
  ]
}

function findIdempotencyRisks ({ idempotency, retry }: Profile): Risk[] {
  const hedged = retry.hedge ? ' and hedging will send it twice' : ''
  const methods = idempotency.methods.flatMap((method, index) => warnIf(!safeMethods.has(method), ['idempotency', 'methods', index],
    `every ${method} may run more than once${hedged}; mark single paths by a rule instead`))
  const rules = idempotency.rules.flatMap((rule, index) => warnIf(rule.idempotent && !safeMethods.has(rule.method), ['idempotency', 'rules', index],
    `${rule.method} ${rule.path} may run more than once${hedged}; be sure that the upstream allows it`))
  return [...methods, ...rules]
}

function findRetryRisks ({ retry, timeouts }: Profile): Risk[] {
  return [
    ...warnIf(retry.attempts > maxSafeAttempts && timeouts.callMs >= longCallMs, ['retry', 'attempts'],
      `${retry.attempts} attempts within a call of ${timeouts.callMs} ms hold a caller for long; ${maxSafeAttempts} attempts are enough`),
    ...warnIf(retry.share > maxSafeRetryShare, ['retry', 'share'],
      `retries may add ${Math.round(retry.share * 100)} % to the load of a failing service; ${maxSafeRetryShare} or less is safer`)
  ]
}

function findTimeoutRisks ({ timeouts, drain }: Profile): Risk[] {
  return [
    ...warnIf(timeouts.queueMs > timeouts.callMs, ['timeouts', 'queueMs'],
      `a call may wait ${timeouts.queueMs} ms for a slot, yet its caller gives up after callMs = ${timeouts.callMs} ms`),
    ...warnIf(timeouts.connectMs > timeouts.callMs, ['timeouts', 'connectMs'],
      `connecting may take longer than the whole call, callMs = ${timeouts.callMs} ms`),
    ...warnIf(drain.newWorkMs > maxSafeDrainMs, ['drain', 'newWorkMs'],
      `a leaving target may receive new work for ${drain.newWorkMs} ms; ${maxSafeDrainMs} ms or less is expected`)
  ]
}

function isLoopback (ip: string): boolean {
  return ip === '::1' || ip.startsWith('127.')
}

function warnIf (risky: boolean, path: Risk['path'], message: string): Risk[] {
  return risky ? [{ path, message }] : []
}
