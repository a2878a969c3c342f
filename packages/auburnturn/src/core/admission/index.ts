/** Decides which calls run on the upstream of this VM, and when. All calls to the upstream pass through it. */
export { Admission } from './admission.js'
export { Limiter } from './limiter.js'
export type { AdmissionDecision } from './types.js'
