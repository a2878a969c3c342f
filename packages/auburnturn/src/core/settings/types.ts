/** One problem of a document and its position. Lines and columns count from 1. */
export interface DocumentProblem {
  readonly line: number
  readonly column: number
  /** Dotted path of the key; empty for the document itself. */
  readonly key: string
  /** What was found and what is allowed, in words. */
  readonly message: string
}

/** Result of parsing a document: its value, or all of its problems. */
export type ParsedDocument<Value> =
  | { readonly kind: 'valid', readonly value: Value }
  | { readonly kind: 'invalid', readonly problems: readonly DocumentProblem[] }

/** A line and a column, both counted from 1. */
export interface Position {
  readonly line: number
  readonly column: number
}

/** Path of a value in a document: keys and array indexes, from the root. */
export type KeyPath = ReadonlyArray<string | number>

/** A valid value that is likely to cause an incident. */
export interface Risk {
  readonly path: KeyPath
  readonly message: string
}
