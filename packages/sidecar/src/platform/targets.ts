import type { ListedTarget } from '../core/targets/index.js'
import { countOf, fieldsOf, textOf } from './decode.js'

/** Keys of the targets' own entries begin so; the rest of a key is the target's id. */
export const targetsPrefix = 'servers/'

const address = /^(\d{1,3}(?:\.\d{1,3}){3}):\d{1,5}$/

/** The target that an entry names; undefined when it names none that can be used. */
export function decodeTarget (key: string, value: unknown): ListedTarget | undefined {
  const entry = fieldsOf(value)
  const info = fieldsOf(entry?.['info'])
  const status = fieldsOf(entry?.['status'])
  const id = key.slice(targetsPrefix.length)
  const place = textOf(entry?.['address'])
  const ip = place === undefined ? undefined : address.exec(place)?.[1]
  const service = textOf(info?.['service'])
  const state = status?.['state']
  const slots = countOf(info?.['slots'])
  if (!key.startsWith(targetsPrefix) || id === '' || place === undefined || ip === undefined) return undefined
  if (service === undefined || slots === undefined || (state !== 'ready' && state !== 'draining')) return undefined
  return {
    id,
    service,
    address: place,
    ip,
    failureDomain: textOf(info?.['zone']) ?? '',
    slots,
    state,
    coldMs: countOf(status?.['cold_remaining_ms']) ?? 0
  }
}
