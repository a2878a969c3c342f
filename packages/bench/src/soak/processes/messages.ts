import type { HistoryEvent } from 'auburnturn'
import type { Told, Work } from '../types.js'

/** What the processes of a run tell the one that drives it. */
export type FromProcess =
  | { readonly kind: 'ready' }
  | { readonly kind: 'event', readonly event: HistoryEvent }
  | { readonly kind: 'work', readonly work: Work }
  | { readonly kind: 'told', readonly told: Told }
  /** The store has taken a change. */
  | { readonly kind: 'acknowledged', readonly order: number, readonly at: number }

/** What the driver tells the store. */
export type ToStore =
  | { readonly kind: 'put', readonly order: number, readonly key: string, readonly value: unknown }
  | { readonly kind: 'remove', readonly order: number, readonly key: string }
  | { readonly kind: 'refuse', readonly status: number | undefined }
  | { readonly kind: 'forget' }

/** What the driver tells callers: which VMs they are at, and how often each of them calls. */
export interface ToCallers {
  readonly vms: ReadonlyArray<{ readonly index: number, readonly ip: string }>
  readonly perSecond: number
}

/** Tells the driver, before anything that follows leaves this process. */
export function tell (message: FromProcess): void {
  process.send?.(message)
}

/** Milliseconds on the clock that all processes of a machine share. */
export function now (): number {
  return Number(process.hrtime.bigint()) / 1e6
}
