import type { Clock } from '../clock/index.js'
import type { Part } from './types.js'

/** How the close of a part went. */
export type CloseOutcome =
  | { readonly kind: 'closed' }
  | { readonly kind: 'failed', readonly error: unknown }
  | { readonly kind: 'late' }

/** Closes a part and waits for it at most `milliseconds`. Never rejects. */
export async function closeWithin (part: Part, milliseconds: number, clock: Clock): Promise<CloseOutcome> {
  const settled = new AbortController()
  const closing = close(part)
  closing.then(() => { settled.abort() }, () => {})
  await clock.sleep(milliseconds, settled.signal)
  return settled.signal.aborted ? await closing : { kind: 'late' }
}

async function close (part: Part): Promise<CloseOutcome> {
  try {
    await part.close()
    return { kind: 'closed' }
  } catch (error) {
    return { kind: 'failed', error }
  }
}
