import { readFileSync } from 'node:fs'
import { Fault } from 'auburnturn'
import { checkDocument } from '../../core/check/index.js'
import type { CheckResult, DocumentKind } from '../../core/check/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

/** Checks documents and prints a line for every error and warning; with `strict`, warnings also fail the check. */
export function check (files: readonly string[], kind: DocumentKind | undefined, strict: boolean, terminal: Terminal): number {
  const results = files.map(file => checkDocument(file, readDocument(file), kind))
  for (const line of results.flatMap(({ errors, warnings }) => [...errors, ...warnings])) terminal.printError(line)
  terminal.print(summarize(results))
  const failed = results.some(({ errors, warnings }) => errors.length > 0 || (strict && warnings.length > 0))
  return failed ? exitCodes.invalid : exitCodes.ok
}

function readDocument (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw Fault.create('document-unreadable', error instanceof Error ? error.message : String(error), error)
  }
}

function summarize (results: readonly CheckResult[]): string {
  const errors = results.reduce((sum, file) => sum + file.errors.length, 0)
  const warnings = results.reduce((sum, file) => sum + file.warnings.length, 0)
  return `${results.length} checked (${results.map(({ kind }) => kind).join(', ')}): errors ${errors}, warnings ${warnings}`
}
