import { createScanner, findNodeAtLocation, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError, SyntaxKind } from 'jsonc-parser'
import { maxDocumentCharacters, maxDocumentDepth, maxProblems } from './constants.js'
import type { DocumentProblem, KeyPath, Position } from './types.js'

// The token numbers of jsonc-parser: its ambient const enum can't be imported as a value.
const openingTokens: ReadonlySet<SyntaxKind> = new Set([1, 3])
const closingTokens: ReadonlySet<SyntaxKind> = new Set([2, 4])
const endToken = 17

const syntaxErrorDescriptions: Readonly<Record<string, string>> = {
  InvalidSymbol: 'an unknown word; allowed: true, false, null, a number, or text in double quotes',
  InvalidNumberFormat: 'a malformed number; allowed: a number such as 20 or 0.5',
  PropertyNameExpected: 'no key; allowed: a key in double quotes',
  ValueExpected: 'no value; allowed: a value after the colon',
  ColonExpected: 'no colon; allowed: a colon between a key and its value',
  CommaExpected: 'no comma; allowed: a comma between two entries',
  CloseBraceExpected: 'the end of the document; allowed: a closing }',
  CloseBracketExpected: 'the end of the document; allowed: a closing ]',
  EndOfFileExpected: 'more text; allowed: nothing after the closing }',
  InvalidCommentToken: 'a malformed comment; allowed: // to the end of the line, or /* … */',
  UnexpectedEndOfComment: 'a comment that does not end; allowed: /* … */',
  UnexpectedEndOfString: 'text that does not end; allowed: text between double quotes on one line',
  UnexpectedEndOfNumber: 'a number that does not end; allowed: a number such as 20 or 0.5',
  InvalidUnicode: 'a malformed \\u escape; allowed: \\u and four hexadecimal digits',
  InvalidEscapeCharacter: 'an unknown escape; allowed: \\" \\\\ \\/ \\b \\f \\n \\r \\t \\u',
  InvalidCharacter: 'a control character inside text; allowed: its escape, such as \\n or \\t'
}

/** The syntax tree of a document, or the problems that prevent parsing it. */
export type DocumentTree =
  | { readonly kind: 'tree', readonly root: Node }
  | { readonly kind: 'invalid', readonly problems: readonly DocumentProblem[] }

/** Parses JSON with comments. Never throws. Lists at most `maxProblems`, because locating each one scans the text. */
export function parseDocumentTree (text: string): DocumentTree {
  if (text.length > maxDocumentCharacters) {
    return rejectDocument(`found ${text.length} characters; allowed: at most ${maxDocumentCharacters}`)
  }
  if (exceedsMaxDepth(text)) return rejectDocument(`found deeper nesting; allowed: at most ${maxDocumentDepth} levels`)
  const syntaxErrors: ParseError[] = []
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true })
  if (syntaxErrors.length > 0) return { kind: 'invalid', problems: syntaxErrors.slice(0, maxProblems).map(error => describeSyntaxError(text, error)) }
  if (root === undefined) return rejectDocument('found an empty document; allowed: an object in { }')
  const keyProblems = findKeyProblems(root, []).slice(0, maxProblems)
  if (keyProblems.length > 0) return { kind: 'invalid', problems: keyProblems.map(problem => describeKeyProblem(text, problem)) }
  return { kind: 'tree', root }
}

/** Returns the position of the key at `path`, or of its nearest existing parent. */
export function locatePath (text: string, root: Node, path: KeyPath): Position {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, [...path.slice(0, length)])
    if (node === undefined) continue
    const isKey = node.parent?.type === 'property'
    return findPosition(text, isKey ? node.parent?.offset ?? node.offset : node.offset)
  }
  return findPosition(text, root.offset)
}

/** Converts an offset into line and column. */
export function findPosition (text: string, offset: number): Position {
  const lines = text.slice(0, offset).split(/\r\n|\r|\n/)
  const last = lines[lines.length - 1] ?? ''
  return { line: lines.length, column: last.length + 1 }
}

function rejectDocument (message: string): DocumentTree {
  return { kind: 'invalid', problems: [{ line: 1, column: 1, key: '', message }] }
}

function describeSyntaxError (text: string, { error, offset }: ParseError): DocumentProblem {
  const code = printParseErrorCode(error)
  return { ...findPosition(text, offset), key: '', message: `found ${syntaxErrorDescriptions[code] ?? code}` }
}

/** Counts brackets with the scanner, which is not recursive, unlike the parser. */
function exceedsMaxDepth (text: string): boolean {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token = scanner.scan(); token !== endToken; token = scanner.scan()) {
    if (openingTokens.has(token)) depth++
    if (closingTokens.has(token)) depth--
    if (depth > maxDocumentDepth) return true
  }
  return false
}

interface KeyProblem {
  readonly node: Node
  readonly path: KeyPath
  readonly message: string
}

/** Finds keys that the schema cannot check: duplicates and `__proto__`. */
function findKeyProblems (node: Node, path: KeyPath): KeyProblem[] {
  if (node.type === 'array') return (node.children ?? []).flatMap((child, index) => findKeyProblems(child, [...path, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  const problems: KeyProblem[] = []
  for (const property of node.children ?? []) {
    const [keyNode, valueNode] = property.children ?? []
    if (keyNode === undefined || valueNode === undefined) continue
    const key = String(keyNode.value)
    const keyPath = [...path, key]
    if (seen.has(key)) problems.push({ node: keyNode, path: keyPath, message: 'found this key a second time; allowed: each key once' })
    // Assigning this key would set the prototype and hide the key from schema validation.
    if (key === '__proto__') problems.push({ node: keyNode, path: keyPath, message: 'found an unknown key; allowed: a documented key' })
    seen.add(key)
    problems.push(...findKeyProblems(valueNode, keyPath))
  }
  return problems
}

function describeKeyProblem (text: string, { node, path, message }: KeyProblem): DocumentProblem {
  return { ...findPosition(text, node.offset), key: path.join('.'), message }
}
