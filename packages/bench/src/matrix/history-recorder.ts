import { performance } from 'node:perf_hooks'
import type { HistoryEvent } from 'auburnturn'

type WithoutTimestamp<Event> = Event extends HistoryEvent ? Omit<Event, 'at'> : never

/** Collects the events of one history in the order in which they are observed, each with the time of a monotonic clock. */
export class HistoryRecorder {
  readonly events: HistoryEvent[] = []

  private constructor () {}

  static create (): HistoryRecorder {
    return new HistoryRecorder()
  }

  add (event: WithoutTimestamp<HistoryEvent>): void {
    this.events.push({ ...event, at: performance.now() } as HistoryEvent)
  }
}
