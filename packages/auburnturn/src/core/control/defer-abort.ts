/**
 * A signal that aborts in the next turn of the event loop after `signal` has. Node's HTTP/2 client runs promise jobs
 * while it reads a frame that ends all streams, and never returns when one of them closes another stream then.
 */
export function deferAbort (signal: AbortSignal): AbortSignal {
  const later = new AbortController()
  const abort = (): void => { setImmediate(() => { later.abort(signal.reason) }) }
  if (signal.aborted) later.abort(signal.reason)
  else signal.addEventListener('abort', abort, { once: true })
  return later.signal
}
