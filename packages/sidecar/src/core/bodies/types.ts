import type { ReadPace } from 'auburnturn/core/bodies'
import type { BodyMemory } from './body-memory.js'

/** What all bodies of a process may take together. */
export interface BodyLimits {
  readonly memory: BodyMemory
  /** Limits the processor time of bodies in very small pieces. */
  readonly pace: ReadPace
}

/** How the receipt of a body ended. */
export type BodyResult =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The bodies that are being received exceed the memory limit together, and this one is the largest. */
  | { readonly kind: 'no-memory' }
  /** The sender disconnected before the end of the body. */
  | { readonly kind: 'cut' }
