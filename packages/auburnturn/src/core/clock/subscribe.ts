import type { Stream } from '@most/types'
import type { Cancel, Clock } from './clock.js'

/** Calls `take` for every event of `stream` until the returned function is called. Errors reach `fail`. */
export function subscribe<Value> (clock: Clock, stream: Stream<Value>, take: (value: Value) => void, fail: (error: Error) => void): Cancel {
  const sink = {
    event: (_time: number, value: Value) => { take(value) },
    end: () => {},
    error: (_time: number, error: Error) => { fail(error) }
  }
  const subscription = stream.run(sink, clock.scheduler)
  return () => { subscription.dispose() }
}
