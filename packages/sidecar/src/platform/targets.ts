import { asNonNegativeNumber, asJsonObject, asNonEmptyString } from '../core/decoding/index.js'
import type { ListedTarget } from '../core/targets/index.js'

/** Prefix of the keys under which targets register themselves; the rest of a key is the id of the target. */
export const targetKeyPrefix = 'servers/'

const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}):\d{1,5}$/

/** Decodes a target from its entry in the store; undefined if a required field is missing or invalid. */
export function decodeTarget (key: string, value: unknown): ListedTarget | undefined {
  const entry = asJsonObject(value)
  const info = asJsonObject(entry?.['info'])
  const status = asJsonObject(entry?.['status'])
  const id = key.slice(targetKeyPrefix.length)
  const address = asNonEmptyString(entry?.['address'])
  const ip = address === undefined ? undefined : addressPattern.exec(address)?.[1]
  const service = asNonEmptyString(info?.['service'])
  const state = status?.['state']
  const slots = asNonNegativeNumber(info?.['slots'])
  if (!key.startsWith(targetKeyPrefix) || id === '' || address === undefined || ip === undefined) return undefined
  if (service === undefined || slots === undefined || (state !== 'ready' && state !== 'draining')) return undefined
  return {
    id,
    service,
    address,
    ip,
    failureDomain: asNonEmptyString(info?.['zone']) ?? '',
    slots,
    state,
    coldMs: asNonNegativeNumber(status?.['cold_remaining_ms']) ?? 0
  }
}
