/** How a call is handled: like any other, alone on its upstream, or not at all. */
export type Treatment =
  | { readonly kind: 'usual' }
  | { readonly kind: 'alone', readonly fingerprint: string }
  | { readonly kind: 'refused', readonly fingerprint: string }

export type TreatmentKind = Treatment['kind']

/** What is known of a request that was in flight when upstreams crashed. */
export interface Suspicion {
  /** Crashes while it ran alone. */
  readonly loneCrashes: number
  /** Whether it was in flight together with others at a crash. */
  readonly sharedCrash: boolean
  /** Whether it has completed since the last crash that it shared. */
  readonly cleared: boolean
}
