/** Longest document that is read, in characters; the platform holds values up to a megabyte. */
export const maxDocumentCharacters = 1_048_576

/** Deepest nesting of objects and arrays in a document. */
export const maxDocumentDepth = 64

/** Most problems that are listed for one document. */
export const maxProblems = 100

/** Longest found value that a problem quotes, in characters. */
export const maxQuotedCharacters = 60
