import type { Stream } from '@most/types'
import type { Cancel, Clock } from './clock.js'

/** Calls `onValue` for every event of `stream` and `onError` when it fails, until the returned function is called. */
export function subscribe<Value> (clock: Clock, stream: Stream<Value>, onValue: (value: Value) => void, onError: (error: Error) => void): Cancel {
  const sink = {
    event: (_time: number, value: Value) => { onValue(value) },
    end: () => {},
    error: (_time: number, error: Error) => { onError(error) }
  }
  const subscription = stream.run(sink, clock.scheduler)
  return () => { subscription.dispose() }
}
