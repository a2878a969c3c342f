/** One thing wrong in a document, with where it stands. Lines and columns count from 1. */
export interface DocumentProblem {
  readonly line: number
  readonly column: number
  /** Dotted path of the key, empty for the document itself. */
  readonly key: string
  /** What was found and what is allowed, for a person. */
  readonly message: string
}

/** The outcome of reading a document: its value, or every problem at once. */
export type ParsedDocument<Value> =
  | { readonly kind: 'valid', readonly value: Value }
  | { readonly kind: 'invalid', readonly problems: readonly DocumentProblem[] }

/** A line and a column, both from 1. */
export interface Position {
  readonly line: number
  readonly column: number
}

/** A path of keys and array indexes. */
export type KeyPath = ReadonlyArray<string | number>

/** A valid choice that is likely to hurt at night. */
export interface Risk {
  readonly path: KeyPath
  readonly message: string
}
