/** Stands before this VM's own upstream and alone decides what runs there now. */
export { Admission } from './admission.js'
export { Limiter } from './limiter.js'
export type { AdmissionResult } from './types.js'
