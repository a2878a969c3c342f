import type { CancelSignal } from 'auburnturn/core/clock'
import type { Job, Outcome } from '../requests/index.js'
import type { Candidate } from '../targets/index.js'

/** Sends requests to the nodes on the VMs of targets. */
export interface RequestSender {
  send (job: Job, target: Candidate, signal: CancelSignal): Promise<Outcome>
}
