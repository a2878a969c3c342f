/** Who runs on the own target now, who waits, and who is refused. */
export { compareApplicants, isTimely } from './order.js'
export { Slots } from './slots.js'
export type { Application } from './slots.js'
export type { Admittance, Applicant, Pace, Refusal } from './types.js'
