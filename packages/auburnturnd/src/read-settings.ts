import { readFileSync } from 'node:fs'
import { Fault, findSettingsRisks, formatProblem, locateKey, parseDocument, settingsSchema } from 'auburnturn'
import type { NodeSettings } from 'auburnturn'

/** Valid settings, with one warning line per risky value. */
export interface ValidatedSettings {
  readonly settings: NodeSettings
  readonly warnings: readonly string[]
}

/** Reads and validates a settings file; throws a fault that lists every problem. */
export function readSettings (file: string): ValidatedSettings {
  const text = readText(file)
  const parsed = parseDocument(text, settingsSchema)
  if (parsed.kind === 'invalid') throw Fault.create('settings-invalid', parsed.problems.map(problem => formatProblem(file, problem)).join('\n'))
  const warnings = findSettingsRisks(parsed.value).map(({ path, message }) =>
    formatProblem(file, { ...locateKey(text, path), key: path.join('.'), message: `warning: ${message}` }))
  return { settings: parsed.value, warnings }
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw Fault.create('settings-unreadable', error instanceof Error ? error.message : String(error), error)
  }
}
