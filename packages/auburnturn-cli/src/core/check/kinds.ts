import { profileSchema, serviceSchema, settingsSchema } from 'auburnturn'
import { parse } from 'jsonc-parser'

/** Kinds of documents that users write. */
export const documentKinds = ['settings', 'profile', 'service'] as const

export type DocumentKind = typeof documentKinds[number]

/** Schema of each kind of document. */
export const schemas = { settings: settingsSchema, profile: profileSchema, service: serviceSchema } as const

const settingsKeys = ['callers', 'peers', 'control', 'operator', 'upstream', 'platform', 'failureDomain']

/** Infers the kind of a document from its keys; a profile if no key decides, since all keys of a profile are optional. */
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
    return undefined // nested too deeply; the check itself reports that
  }
}
