/** Maximum length of a document that is parsed, in characters. The platform stores values of up to a megabyte. */
export const maxDocumentCharacters = 1_048_576

/** Maximum nesting depth of objects and arrays in a document. */
export const maxDocumentDepth = 64

/** Maximum number of problems that are listed for one document. */
export const maxProblems = 100

/** Maximum length of the found value that a problem quotes, in characters. */
export const maxQuotedCharacters = 60
