import type { ListedTarget } from '../core/targets/index.js'
import { asNonNegativeNumber, asJsonObject, asNonEmptyString } from './json-values.js'

/** Keys of the targets' own entries begin so; the rest of a key is the target's id. */
export const targetKeyPrefix = 'servers/'

const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}):\d{1,5}$/

/** The target that an entry names; undefined when it names none that can be used. */
export function decodeTarget (key: string, value: unknown): ListedTarget | undefined {
  const entry = asJsonObject(value)
  const info = asJsonObject(entry?.['info'])
  const status = asJsonObject(entry?.['status'])
  const id = key.slice(targetKeyPrefix.length)
  const place = asNonEmptyString(entry?.['address'])
  const ip = place === undefined ? undefined : addressPattern.exec(place)?.[1]
  const service = asNonEmptyString(info?.['service'])
  const state = status?.['state']
  const slots = asNonNegativeNumber(info?.['slots'])
  if (!key.startsWith(targetKeyPrefix) || id === '' || place === undefined || ip === undefined) return undefined
  if (service === undefined || slots === undefined || (state !== 'ready' && state !== 'draining')) return undefined
  return {
    id,
    service,
    address: place,
    ip,
    failureDomain: asNonEmptyString(info?.['zone']) ?? '',
    slots,
    state,
    coldMs: asNonNegativeNumber(status?.['cold_remaining_ms']) ?? 0
  }
}
