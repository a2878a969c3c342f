import type { Clock } from '../clock/index.js'
import { percentiles } from './constants.js'
import { formatSeries, splitSeries } from './labels.js'
import { formatSummary, formatValues } from './prometheus.js'
import { Recorder } from './recorder.js'
import type { Labels, MetricType, ReadValue, Series } from './types.js'

/** Counters, gauges and durations of one node. */
export class Metrics {
  private readonly clock: Clock | undefined
  private readonly counters = new Map<string, number>()
  /** Values that other parts keep, read when they are asked for. */
  private readonly readings = new Map<string, { readonly type: MetricType, readonly read: ReadValue }>()
  private readonly recorders = new Map<string, Recorder>()

  private constructor (clock: Clock | undefined) {
    this.clock = clock
  }

  /** Without a clock, quantiles are of everything since the start. */
  static create ({ clock }: { clock?: Clock } = {}): Metrics {
    return new Metrics(clock)
  }

  /**
   * Adds to a counter.
   *
   * @example
   * metrics.count('calls_total', { verdict: 'done' })
   */
  count (name: string, labels: Labels = {}, amount = 1): void {
    const series = formatSeries(name, labels)
    this.counters.set(series, (this.counters.get(series) ?? 0) + amount)
  }

  /** Shows a value that another part keeps; it is read on each scrape. */
  show (name: string, type: 'counter' | 'gauge', read: ReadValue, labels: Labels = {}): void {
    this.readings.set(formatSeries(name, labels), { type, read })
  }

  /** Records a duration in milliseconds under a name that ends in `_seconds`. */
  record (name: string, milliseconds: number): void {
    this.recorderOf(name).record(milliseconds)
  }

  dump (): unknown {
    const durations = [...this.recorders].map(([name, recorder]) => [name, describeDurations(recorder)])
    return {
      counters: Object.fromEntries([...this.counters, ...this.read('counter').map(toEntry)]),
      gauges: Object.fromEntries(this.read('gauge').map(toEntry)),
      durations: Object.fromEntries(durations)
    }
  }

  /** The Prometheus text format; durations are in seconds. */
  format (): string {
    const counted = [...this.counters].map(([series, value]): Series => ({ ...splitSeries(series), value }))
    const lines = [
      ...formatValues('counter', [...counted, ...this.read('counter')]),
      ...formatValues('gauge', this.read('gauge')),
      ...[...this.recorders].flatMap(([name, recorder]) => formatSummary(name, recorder.summarize()))
    ]
    return `${lines.join('\n')}\n`
  }

  private read (type: MetricType): Series[] {
    return [...this.readings].flatMap(([series, reading]) => {
      if (reading.type !== type) return []
      const value = reading.read()
      return Number.isFinite(value) ? [{ ...splitSeries(series), value }] : []
    })
  }

  private recorderOf (name: string): Recorder {
    const known = this.recorders.get(name)
    if (known !== undefined) return known
    const { clock } = this
    const fresh = Recorder.create(clock === undefined ? () => 0 : () => clock.now())
    this.recorders.set(name, fresh)
    return fresh
  }
}

function toEntry ({ name, labels, value }: Series): [string, number] {
  return [`${name}${labels}`, value]
}

function describeDurations (recorder: Recorder): Record<string, number> {
  const { count, sumSeconds, seconds } = recorder.summarize()
  const rows = percentiles.map((percentile, index) => [`p${percentile}Ms`, (seconds[index] ?? 0) * 1000])
  return { count, sumSeconds, ...Object.fromEntries(rows) as Record<string, number> }
}
