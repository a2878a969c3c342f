import type { Clock } from '../clock/index.js'
import type { Part } from './types.js'

/** Result of closing a part; `late` if it did not close in time. */
export type CloseOutcome =
  | { readonly kind: 'closed' }
  | { readonly kind: 'failed', readonly error: unknown }
  | { readonly kind: 'late' }

/** Closes a part and waits at most `milliseconds` until it is closed. Never rejects. */
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
