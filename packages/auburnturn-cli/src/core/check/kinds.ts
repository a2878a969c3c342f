import { profileSchema, serviceSchema, settingsSchema } from 'auburnturn'
import { parse } from 'jsonc-parser'

/** The documents that people write. */
export const documentKinds = ['settings', 'profile', 'service'] as const

export type DocumentKind = typeof documentKinds[number]

/** The schema of each kind of document. */
export const schemas = { settings: settingsSchema, profile: profileSchema, service: serviceSchema } as const

const settingsKeys = ['callers', 'peers', 'control', 'operator', 'upstream', 'platform', 'failureDomain']

/** The kind that the keys of a document point to; a profile when they say nothing, since all its keys are optional. */
export function inferKind (text: string): DocumentKind {
  const value = parseLeniently(text)
  if (typeof value !== 'object' || value === null) return 'profile'
  if (settingsKeys.some(key => Object.hasOwn(value, key))) return 'settings'
  return Object.hasOwn(value, 'profile') ? 'service' : 'profile'
}

function parseLeniently (text: string): unknown {
  try {
    return parse(text, [], { allowTrailingComma: true })
  } catch {
    return undefined // nested too deeply; the real check says so
  }
}
