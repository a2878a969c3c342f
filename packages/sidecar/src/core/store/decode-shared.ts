import type { Configuration, Limits, Route, Service, Share } from '../configuration/index.js'
import { asDurationMs, asInteger, asJsonObject, asNonNegativeNumber, asPath, asText, asWellFormedString, maxSlots, parseConnectableIp } from '../decoding/index.js'
import type { ListedTarget } from '../targets/index.js'
import type { Change } from './types.js'

/**
 * Decodes what another node serves or announces, with the same checks as for the store: what one node takes by mistake must not
 * spread to the others. Each function returns undefined if the value can't be used.
 */

/** Decodes the configuration of another node. */
export function decodeSharedConfiguration (value: unknown): Configuration | undefined {
  const fields = asJsonObject(value)
  const version = asInteger(fields?.['version'])
  const routes = decodeAll(fields?.['routes'], decodeRoute)
  const services = decodeAll(fields?.['services'], decodeService)
  const limits = decodeLimits(fields?.['limits'])
  if (version === undefined || routes === undefined || services === undefined || limits === undefined) return undefined
  return { version, routes, services, limits }
}

/** Decodes the changes of the list of targets that another node announces; undefined if one of them can't be used. */
export function decodeSharedChanges (value: unknown): Change[] | undefined {
  return decodeAll(value, decodeChange)
}

function decodeChange (value: unknown): Change | undefined {
  const fields = asJsonObject(value)
  switch (fields?.['kind']) {
    case 'target': {
      const target = decodeSharedTarget(fields['target'])
      return target === undefined ? undefined : { kind: 'target', target }
    }
    case 'gone': {
      const id = fields['id']
      return typeof id === 'string' ? { kind: 'gone', id } : undefined
    }
    case 'unusable': {
      const { key, id } = fields
      return typeof key === 'string' && (typeof id === 'string' || id === undefined) ? { kind: 'unusable', key, id } : undefined
    }
    default: return undefined
  }
}

/** Decodes a listed target of another node. */
export function decodeSharedTarget (value: unknown): ListedTarget | undefined {
  const { id, service, address, failureDomain, slots, state, coldMs } = asJsonObject(value) ?? {}
  const target = { id: asText(id), service: asText(service), failureDomain: asText(failureDomain), slots: asInteger(slots), coldMs: asDurationMs(coldMs) }
  const ip = typeof address === 'string' ? parseConnectableIp(address) : undefined
  if (ip === undefined || target.id === undefined || target.id === '' || target.service === undefined || target.service === '') return undefined
  if (target.failureDomain === undefined || target.slots === undefined || target.slots > maxSlots || target.coldMs === undefined) return undefined
  if (state !== 'ready' && state !== 'draining') return undefined
  return { id: target.id, service: target.service, address: address as string, ip, failureDomain: target.failureDomain, slots: target.slots, state, coldMs: target.coldMs }
}

function decodeRoute (value: unknown): Route | undefined {
  const fields = asJsonObject(value)
  const { host, prefix, kind } = fields ?? {}
  const name = asWellFormedString(fields?.['name'])
  const timeoutMs = asDurationMs(fields?.['timeoutMs'])
  const objectiveMs = asDurationMs(fields?.['objectiveMs'])
  const priority = asNonNegativeNumber(fields?.['priority'])
  const maxAttempts = asNonNegativeNumber(fields?.['maxAttempts'])
  const shares = decodeAll(fields?.['shares'], decodeShare)
  if (name === undefined || typeof host !== 'string' || typeof prefix !== 'string' || (kind !== 'idempotent' && kind !== 'non-idempotent')) return undefined
  if (timeoutMs === undefined || objectiveMs === undefined || priority === undefined) return undefined
  if (maxAttempts === undefined || maxAttempts < 1 || shares === undefined || shares.length === 0) return undefined
  return { name, host, prefix, kind, timeoutMs, objectiveMs, priority, maxAttempts, shares }
}

function decodeShare (value: unknown): Share | undefined {
  const fields = asJsonObject(value)
  const service = fields?.['service']
  const weight = asNonNegativeNumber(fields?.['weight'])
  return typeof service === 'string' && weight !== undefined && weight > 0 ? { service, weight } : undefined
}

function decodeService (value: unknown): Service | undefined {
  const fields = asJsonObject(value)
  const name = fields?.['name']
  const healthPath = asPath(fields?.['healthPath'])
  return typeof name === 'string' && healthPath !== undefined ? { name, healthPath } : undefined
}

function decodeLimits (value: unknown): Limits | undefined {
  const fields = asJsonObject(value)
  const maxHeaderBytes = asNonNegativeNumber(fields?.['maxHeaderBytes'])
  const maxBodyBytes = asNonNegativeNumber(fields?.['maxBodyBytes'])
  const headerTimeoutMs = asDurationMs(fields?.['headerTimeoutMs'])
  const idleTimeoutMs = asDurationMs(fields?.['idleTimeoutMs'])
  if (maxHeaderBytes === undefined || maxBodyBytes === undefined || headerTimeoutMs === undefined || idleTimeoutMs === undefined) return undefined
  return { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs }
}

/** Decodes all elements of an array; undefined if it is none, or if one of them can't be used. */
function decodeAll<Value> (value: unknown, decode: (element: unknown) => Value | undefined): Value[] | undefined {
  if (!Array.isArray(value)) return undefined
  const decoded = value.map(decode)
  return decoded.includes(undefined) ? undefined : decoded as Value[]
}
