/** One thing wrong in a document, with where it stands. Lines and columns count from 1. */
export interface DocumentProblem {
  readonly line: number
  readonly column: number
  /** Dotted path of the key, empty for the document itself. */
  readonly key: string
  readonly message: string
}

/** The outcome of reading a document: its value, or every problem at once. */
export type ParsedDocument<Value> =
  | { readonly kind: 'valid', readonly value: Value }
  | { readonly kind: 'invalid', readonly problems: readonly DocumentProblem[] }
