/** Who runs on the own target now, who waits, and who is refused. */
export { compareSlotRequests, meetsObjective } from './order.js'
export { Slots } from './slots.js'
export type { SlotAcquisition } from './slots.js'
export type { AdmissionDecision, SlotRequest, ServiceSpeed, RefusalCause } from './types.js'
