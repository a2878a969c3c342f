import { getNodeValue } from 'jsonc-parser'
import type { z } from 'zod'
import { maxProblems } from './constants.js'
import { locatePath, parseDocumentTree } from './document-tree.js'
import { describeIssue } from './problems.js'
import type { CheckedDocument } from './problems.js'
import type { DocumentProblem, KeyPath, ParsedDocument, Position } from './types.js'

const byteOrderMark = /^\uFEFF/

/** Parses JSON with comments and validates it against `schema`. Never throws. */
export function parseDocument<Schema extends z.ZodType> (source: string, schema: Schema): ParsedDocument<z.output<Schema>> {
  const text = source.replace(byteOrderMark, '')
  const tree = parseDocumentTree(text)
  if (tree.kind === 'invalid') return tree
  const validated = schema.safeParse(getNodeValue(tree.root))
  if (validated.success) return { kind: 'valid', value: validated.data }
  const document = { text, root: tree.root, schema }
  return { kind: 'invalid', problems: describeIssues(document, validated.error.issues) }
}

/** Returns the position of the key at `path` in a document, or of its nearest existing parent. */
export function locateKey (source: string, path: KeyPath): Position {
  const text = source.replace(byteOrderMark, '')
  const tree = parseDocumentTree(text)
  return tree.kind === 'tree' ? locatePath(text, tree.root, path) : { line: 1, column: 1 }
}

/** Formats a problem as one line: file, line, column, key, what was found and what is allowed. */
export function formatProblem (file: string, { line, column, key, message }: DocumentProblem): string {
  const location = `${file}:${line}:${column}: `
  return key === '' ? `${location}${message}` : `${location}${key}: ${message}`
}

function describeIssues (document: CheckedDocument, issues: readonly z.core.$ZodIssue[]): DocumentProblem[] {
  const problems: DocumentProblem[] = []
  for (const issue of issues) {
    if (problems.length >= maxProblems) break
    problems.push(...describeIssue(document, issue))
  }
  return problems.sort(compareProblems).slice(0, maxProblems)
}

function compareProblems (one: DocumentProblem, other: DocumentProblem): number {
  return one.line - other.line || one.column - other.column
}
