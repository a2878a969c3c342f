/** Statuses of final answers (RFC 9110, 15): the first and the last one. Those below are of interim answers. */
const firstFinalStatus = 200
const lastFinalStatus = 599

/** Whether a status is that of a final answer. */
export function isFinalStatus (status: number): boolean {
  return Number.isInteger(status) && status >= firstFinalStatus && status <= lastFinalStatus
}
