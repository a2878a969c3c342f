import type { HistoryEvent } from 'auburnturn'
import type { CallerOutcome, Execution } from '../types.js'

/** What the processes of a run tell the one that drives it. */
export type HelperMessage =
  | { readonly kind: 'ready' }
  | { readonly kind: 'event', readonly event: HistoryEvent }
  | { readonly kind: 'work', readonly execution: Execution }
  | { readonly kind: 'told', readonly outcome: CallerOutcome }
  /** The store has taken a change. */
  | { readonly kind: 'acknowledged', readonly changeId: number, readonly acknowledgedAt: number }

/** What the driver tells the store. */
export type StoreCommand =
  | { readonly kind: 'put', readonly changeId: number, readonly key: string, readonly value: unknown }
  | { readonly kind: 'remove', readonly changeId: number, readonly key: string }
  | { readonly kind: 'refuse', readonly status: number | undefined }
  | { readonly kind: 'forget' }

/** What the driver tells callers: which VMs they are at, and how often each of them calls. */
export interface CallersCommand {
  readonly vms: ReadonlyArray<{ readonly index: number, readonly ip: string }>
  readonly requestsPerSecond: number
}

/** Tells the driver, before anything that follows leaves this process. */
export function sendToParent (message: HelperMessage): void {
  process.send?.(message)
}

/** Milliseconds on the clock that all processes of a machine share. */
export function now (): number {
  return Number(process.hrtime.bigint()) / 1e6
}
