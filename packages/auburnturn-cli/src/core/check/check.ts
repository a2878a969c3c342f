import { findProfileRisks, findSettingsRisks, formatProblem, locateKey, parseDocument, profileSchema, serviceSchema, settingsSchema } from 'auburnturn'
import type { Risk } from 'auburnturn'
import { inferKind } from './kinds.js'
import type { DocumentKind } from './kinds.js'

/** Result of a check of one document, with one line per error or warning. */
export interface CheckResult {
  readonly kind: DocumentKind
  readonly errors: readonly string[]
  readonly warnings: readonly string[]
}

/** Checks the document `text`, read from `file`; its kind is inferred from its keys unless given. */
export function checkDocument (file: string, text: string, kind: DocumentKind = inferKind(text)): CheckResult {
  const parsed = parseByKind(text, kind)
  if (parsed.kind === 'invalid') {
    return { kind, errors: parsed.problems.map(problem => formatProblem(file, problem)), warnings: [] }
  }
  return { kind, errors: [], warnings: parsed.risks.map(risk => formatRisk(file, text, risk)) }
}

type ParsedDocument =
  | Extract<ReturnType<typeof parseDocument>, { kind: 'invalid' }>
  | { readonly kind: 'valid', readonly risks: readonly Risk[] }

function parseByKind (text: string, kind: DocumentKind): ParsedDocument {
  if (kind === 'service') return addRisks(parseDocument(text, serviceSchema), () => [])
  if (kind === 'profile') return addRisks(parseDocument(text, profileSchema), findProfileRisks)
  return addRisks(parseDocument(text, settingsSchema), findSettingsRisks)
}

function addRisks<Value> (parsed: { readonly kind: 'valid', readonly value: Value } | Extract<ParsedDocument, { kind: 'invalid' }>, findRisks: (value: Value) => readonly Risk[]): ParsedDocument {
  return parsed.kind === 'invalid' ? parsed : { kind: 'valid', risks: findRisks(parsed.value) }
}

function formatRisk (file: string, text: string, { path, message }: Risk): string {
  const problem = { ...locateKey(text, path), key: path.join('.'), message: `warning: ${message}` }
  return formatProblem(file, problem)
}
