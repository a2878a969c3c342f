import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { z } from 'zod'
import type { DocumentProblem, ParsedDocument } from './types.js'

/** Reads JSON with comments and checks it against `schema`. Never throws. */
export function parseDocument<Schema extends z.ZodType> (text: string, schema: Schema): ParsedDocument<z.output<Schema>> {
  const syntaxErrors: ParseError[] = []
  const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true })
  if (tree === undefined || syntaxErrors.length > 0) {
    return { kind: 'invalid', problems: describeSyntax(text, syntaxErrors) }
  }
  const checked = schema.safeParse(getNodeValue(tree))
  if (checked.success) return { kind: 'valid', value: checked.data }
  const problems = checked.error.issues.map(issue => describeIssue(text, tree, issue))
  return { kind: 'invalid', problems }
}

function describeSyntax (text: string, syntaxErrors: readonly ParseError[]): DocumentProblem[] {
  if (syntaxErrors.length === 0) return [{ line: 1, column: 1, key: '', message: 'The document is empty.' }]
  return syntaxErrors.map(({ error, offset }) => ({
    ...findPosition(text, offset),
    key: '',
    message: `Syntax error: ${printParseErrorCode(error)}.`
  }))
}

function describeIssue (text: string, tree: Node, issue: z.core.$ZodIssue): DocumentProblem {
  const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part)
  const node = findNearestNode(tree, path)
  return { ...findPosition(text, node.offset), key: path.join('.'), message: issue.message }
}

function findNearestNode (tree: Node, path: ReadonlyArray<string | number>): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length))
    if (node !== undefined) return node
  }
  return tree
}

function findPosition (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  const last = before[before.length - 1] ?? ''
  return { line: before.length, column: last.length + 1 }
}
