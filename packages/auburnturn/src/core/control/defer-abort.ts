/**
 * Returns a signal that aborts in the turn of the event loop after `signal` has. Node's HTTP/2 client runs promise jobs
 * while it reads a frame that ends all streams, and never returns if one of these jobs closes another stream.
 */
export function deferAbort (signal: AbortSignal): AbortSignal {
  const deferred = new AbortController()
  const abort = (): void => { setImmediate(() => { deferred.abort(signal.reason) }) }
  if (signal.aborted) deferred.abort(signal.reason)
  else signal.addEventListener('abort', abort, { once: true })
  return deferred.signal
}
