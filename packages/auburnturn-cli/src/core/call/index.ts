/** Sends one call from the command line and reports its outcome. */
export { formatReport } from './format.js'
export { sendCall } from './send.js'
export type { CallReport, CallRequest } from './types.js'
