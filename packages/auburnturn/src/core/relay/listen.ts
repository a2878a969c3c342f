import type { Disposable, Scheduler, Stream } from '@most/types'

/** Calls `take` with every event of a stream, at once and in order, until the result is disposed. */
export function listen<Value> (stream: Stream<Value>, scheduler: Scheduler, take: (value: Value) => void): Disposable {
  return stream.run({
    event: (_time, value) => { take(value) },
    end: () => {},
    error: (_time, error) => { throw error }
  }, scheduler)
}
