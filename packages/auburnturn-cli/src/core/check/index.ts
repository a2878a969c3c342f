/** Checks settings and configuration documents and warns about risky values. */
export { checkDocument } from './check.js'
export { documentKinds, inferKind } from './kinds.js'
export type { CheckResult } from './check.js'
export type { DocumentKind } from './kinds.js'
