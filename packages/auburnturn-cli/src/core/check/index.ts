/** Checks settings and configuration documents, and warns of risky choices. */
export { checkDocument } from './check.js'
export { documentKinds, inferKind } from './kinds.js'
export type { CheckResult } from './check.js'
export type { DocumentKind } from './kinds.js'
