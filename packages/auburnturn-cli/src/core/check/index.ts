/** Checks settings and configuration documents, and warns of risky choices. */
export { checkDocument } from './check.js'
export { documentKinds, guessKind } from './kinds.js'
export type { CheckedFile } from './check.js'
export type { DocumentKind } from './kinds.js'
