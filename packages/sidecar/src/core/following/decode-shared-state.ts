import { asInteger, asJsonObject } from '../decoding/index.js'
import { decodeSharedConfiguration, decodeSharedTarget } from '../store/index.js'
import type { SharedState } from './types.js'

/** Decodes the state of another node; undefined if it can't be used. Targets that can't be used are left out. */
export function decodeSharedState (value: unknown): SharedState | undefined {
  const fields = asJsonObject(value)
  const configuration = decodeSharedConfiguration(fields?.['configuration'])
  const targets = fields?.['targets']
  const revision = asInteger(fields?.['revision'])
  if (configuration === undefined || !Array.isArray(targets)) return undefined
  if (revision === undefined && fields?.['revision'] !== undefined) return undefined
  return { configuration, targets: targets.flatMap((target: unknown) => decodeSharedTarget(target) ?? []), revision }
}
