import { asDurationMs, asInteger, asJsonObject, asNonEmptyString, asText, maxSlots, parseConnectableIp } from '../core/decoding/index.js'
import type { ListedTarget } from '../core/targets/index.js'

/** Prefix of the keys under which targets register themselves; the rest of a key is the id of the target. */
export const targetKeyPrefix = 'servers/'

/** Decodes a target from its entry in the store; undefined if a field that is used is missing, of another type or out of range. */
export function decodeTarget (key: string, value: unknown): ListedTarget | undefined {
  const entry = asJsonObject(value)
  const info = asJsonObject(entry?.['info'])
  const status = asJsonObject(entry?.['status'])
  const id = key.startsWith(targetKeyPrefix) ? asText(key.slice(targetKeyPrefix.length)) : undefined
  const address = asNonEmptyString(entry?.['address'])
  const ip = address === undefined ? undefined : parseConnectableIp(address)
  const service = asText(info?.['service'])
  const failureDomain = asText(info?.['zone'])
  const state = status?.['state']
  const slots = asInteger(info?.['slots'])
  const coldMs = status?.['cold_remaining_ms'] === undefined ? 0 : asDurationMs(status['cold_remaining_ms'])
  if (id === undefined || id === '' || address === undefined || ip === undefined) return undefined
  if (service === undefined || service === '' || failureDomain === undefined || coldMs === undefined) return undefined
  if (slots === undefined || slots > maxSlots || (state !== 'ready' && state !== 'draining')) return undefined
  return { id, service, address, ip, failureDomain, slots, state, coldMs }
}
