import type { Suspicion, TreatmentKind } from './types.js'

/**
 * Chooses how a request is handled that is refused after `maxCrashes` crashes: only if it ran alone in one of them, since others may be
 * to blame for the rest.
 */
export function chooseTreatment ({ loneCrashes, sharedCrash, cleared }: Suspicion, maxCrashes: number): TreatmentKind {
  if (loneCrashes > 0) return loneCrashes + (sharedCrash ? 1 : 0) >= maxCrashes ? 'refused' : 'alone'
  return sharedCrash && !cleared ? 'alone' : 'usual'
}
