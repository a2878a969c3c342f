/** Admission to the target on this VM: which requests run now, which are queued, and which are refused. */
export { compareSlotRequests, meetsObjective } from './order.js'
export { Slots } from './slots.js'
export type { AdmissionDecision, RefusalCause, ServiceSpeed, SlotAcquisition, SlotRequest } from './types.js'
