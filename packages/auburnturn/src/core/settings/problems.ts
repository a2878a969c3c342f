import { findNodeAtLocation, getNodeValue } from 'jsonc-parser'
import type { Node } from 'jsonc-parser'
import type { z } from 'zod'
import { maxProblems, maxQuotedCharacters } from './constants.js'
import { locatePath } from './document-tree.js'
import { describeAllowed, listAllowedKeys } from './json-schema.js'
import type { DocumentProblem, KeyPath } from './types.js'

/** A document that is valid JSON but does not match its schema. */
export interface CheckedDocument {
  readonly text: string
  readonly root: Node
  readonly schema: z.ZodType
}

/** Converts one issue of schema validation into problems that say what was found and what is allowed. */
export function describeIssue (document: CheckedDocument, issue: z.core.$ZodIssue): DocumentProblem[] {
  const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part)
  if (issue.code === 'unrecognized_keys') return issue.keys.slice(0, maxProblems).map(key => describeUnknownKey(document, path, key))
  const allowed = hasSchemaMessage(issue) ? issue.message : describeAllowed(document.schema, path) || issue.message
  return [describeProblem(document, path, `found ${quoteValue(document.root, path)}; allowed: ${allowed}`)]
}

/** Whether the schema has its own message that says what is allowed: JSON schema keywords cannot describe these issues. */
function hasSchemaMessage (issue: z.core.$ZodIssue): boolean {
  return issue.code === 'invalid_format' || issue.code === 'invalid_union' || issue.code === 'custom'
}

function describeUnknownKey (document: CheckedDocument, path: KeyPath, key: string): DocumentProblem {
  const keys = listAllowedKeys(document.schema, path)
  return describeProblem(document, [...path, key], `found an unknown key; allowed: ${keys.join(', ')}`)
}

function describeProblem ({ text, root }: CheckedDocument, path: KeyPath, message: string): DocumentProblem {
  return { ...locatePath(text, root, path), key: path.join('.'), message }
}

function quoteValue (root: Node, path: KeyPath): string {
  const node = findNodeAtLocation(root, [...path])
  if (node === undefined) return 'nothing'
  if (node.type === 'object') return 'an object'
  if (node.type === 'array') return `a list of ${node.children?.length ?? 0}`
  const found = JSON.stringify(getNodeValue(node))
  return found.length > maxQuotedCharacters ? `${found.slice(0, maxQuotedCharacters)}…` : found
}
