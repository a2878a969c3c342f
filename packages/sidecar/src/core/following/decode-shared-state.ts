import { asInteger, asJsonObject } from '../decoding/index.js'
import { decodeSharedConfiguration, decodeSharedTarget } from '../store/index.js'
import type { StorePosition } from '../store/index.js'
import type { SharedState } from './types.js'

/** Decodes the state of another node; undefined if it can't be used. Targets that can't be used are left out. */
export function decodeSharedState (value: unknown): SharedState | undefined {
  const fields = asJsonObject(value)
  const configuration = decodeSharedConfiguration(fields?.['configuration'])
  const targets = fields?.['targets']
  if (configuration === undefined || !Array.isArray(targets)) return undefined
  const position = decodePosition(fields?.['position'])
  if (position === undefined && fields?.['position'] !== undefined) return undefined
  return { configuration, targets: targets.flatMap((target: unknown) => decodeSharedTarget(target) ?? []), position }
}

function decodePosition (value: unknown): StorePosition | undefined {
  const fields = asJsonObject(value)
  const era = asInteger(fields?.['era'])
  const revision = asInteger(fields?.['revision'])
  return era === undefined || revision === undefined ? undefined : { era, revision }
}
