/** Stands before this VM's own upstream and alone decides what runs there now. */
export { Admission } from './admission.js'
export type { Admittance } from './types.js'
