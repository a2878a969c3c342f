import { exportSchema } from 'auburnturn'
import { schemas } from '../../core/check/kinds.js'
import type { DocumentKind } from '../../core/check/index.js'
import { exitCodes } from '../../core/terminal/index.js'
import type { Terminal } from '../../core/terminal/index.js'

/** Prints the JSON schema of one kind of document, for validation in editors. */
export function schema (kind: DocumentKind, terminal: Terminal): number {
  terminal.print(JSON.stringify(exportSchema(schemas[kind]), null, 2))
  return exitCodes.ok
}
