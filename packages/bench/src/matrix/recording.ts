import { performance } from 'node:perf_hooks'
import type { HistoryEvent } from 'auburnturn'

type WithoutTime<Event> = Event extends HistoryEvent ? Omit<Event, 'at'> : never

/** Collects the events of one history in the order in which they were observed. */
export class Recording {
  readonly events: HistoryEvent[] = []

  private constructor () {}

  static create (): Recording {
    return new Recording()
  }

  add (event: WithoutTime<HistoryEvent>): void {
    this.events.push({ ...event, at: performance.now() } as HistoryEvent)
  }
}
