import { findProfileRisks, findSettingsRisks, formatProblem, locateKey, parseDocument, profileSchema, serviceSchema, settingsSchema } from 'auburnturn'
import type { Risk } from 'auburnturn'
import { guessKind } from './kinds.js'
import type { DocumentKind } from './kinds.js'

/** What a check of one document found, a line each. */
export interface CheckedFile {
  readonly kind: DocumentKind
  readonly errors: readonly string[]
  readonly warnings: readonly string[]
}

/** Checks the document `text` of `file`; the kind is guessed from its keys unless given. */
export function checkDocument (file: string, text: string, kind: DocumentKind = guessKind(text)): CheckedFile {
  const parsed = parseKind(text, kind)
  if (parsed.kind === 'invalid') {
    return { kind, errors: parsed.problems.map(problem => formatProblem(file, problem)), warnings: [] }
  }
  return { kind, errors: [], warnings: parsed.risks.map(risk => formatRisk(file, text, risk)) }
}

type Checked =
  | Extract<ReturnType<typeof parseDocument>, { kind: 'invalid' }>
  | { readonly kind: 'valid', readonly risks: readonly Risk[] }

function parseKind (text: string, kind: DocumentKind): Checked {
  if (kind === 'service') return withRisks(parseDocument(text, serviceSchema), () => [])
  if (kind === 'profile') return withRisks(parseDocument(text, profileSchema), findProfileRisks)
  return withRisks(parseDocument(text, settingsSchema), findSettingsRisks)
}

function withRisks<Value> (parsed: { readonly kind: 'valid', readonly value: Value } | Extract<Checked, { kind: 'invalid' }>, findRisks: (value: Value) => readonly Risk[]): Checked {
  return parsed.kind === 'invalid' ? parsed : { kind: 'valid', risks: findRisks(parsed.value) }
}

function formatRisk (file: string, text: string, { path, message }: Risk): string {
  const problem = { ...locateKey(text, path), key: path.join('.'), message: `warning: ${message}` }
  return formatProblem(file, problem)
}
