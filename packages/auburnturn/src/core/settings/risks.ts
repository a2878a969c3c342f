import type { Profile } from './profile.js'
import type { NodeSettings } from './settings.js'
import type { Risk } from './types.js'

/** Methods that HTTP defines as safe: repeating them has no side effects. */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE'])

/** Maximum attempts for a long call; more would occupy the caller for a multiple of the call time. */
const maxSafeAttempts = 2

/** Call timeout from which a call counts as long, in milliseconds. */
const longCallMs = 10_000

/** Maximum `drain.newWorkMs` before a warning, in milliseconds; operators expect a drain to take a few seconds. */
const maxSafeDrainMs = 10_000

/** Maximum crashes that one request may cause before it is refused. */
const maxSafeCrashes = 5

/** Retries as a share of first attempts. Above it, retries overload a service that already fails (retry storm). */
const maxSafeRetryShare = 0.2

/** Finds the values of a profile that are valid but likely to cause an incident. */
export function findProfileRisks (profile: Profile): Risk[] {
  return [
    ...findIdempotencyRisks(profile),
    ...findRetryRisks(profile),
    ...findTimeoutRisks(profile),
    ...warnIf(profile.quarantine.crashes > maxSafeCrashes, ['quarantine', 'crashes'],
      `one request may crash ${profile.quarantine.crashes} upstreams before it is refused; ${maxSafeCrashes} or fewer is safer`),
    ...warnIf(profile.note === '', ['note'], 'the profile has no note that tells operators what it is for')
  ]
}

/** Finds the values of a node's settings that are valid but likely to cause an incident. */
export function findSettingsRisks (settings: NodeSettings): Risk[] {
  return [
    ...warnIf(!isLoopback(settings.operator.ip), ['operator', 'ip'],
      'the dump can be read from outside this VM; 127.0.0.1 keeps it on the VM'),
    ...warnIf(settings.platform.length === 1, ['platform'],
      'there is only one endpoint of the platform; a second one keeps the configuration up to date while the first is down')
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
      `${retry.attempts} attempts within a call of ${timeouts.callMs} ms make the caller wait long; ${maxSafeAttempts} attempts are enough`),
    ...warnIf(retry.share > maxSafeRetryShare, ['retry', 'share'],
      `retries may add ${Math.round(retry.share * 100)} % to the load of a failing service; ${maxSafeRetryShare} or less is safer`)
  ]
}

function findTimeoutRisks ({ timeouts, drain }: Profile): Risk[] {
  return [
    ...warnIf(timeouts.queueMs > timeouts.callMs, ['timeouts', 'queueMs'],
      `a call may wait ${timeouts.queueMs} ms for a slot, but it times out after callMs = ${timeouts.callMs} ms`),
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
