/** Sends one call by hand and tells what became of it. */
export { formatReport } from './format.js'
export { sendCall } from './send.js'
export type { CallReport, CallRequest } from './types.js'
