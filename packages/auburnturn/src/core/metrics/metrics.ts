import type { Clock } from '../clock/index.js'
import { percentiles } from './constants.js'
import { DurationRecorder } from './duration-recorder.js'
import { formatSeries, splitSeries } from './labels.js'
import { formatSamples, formatSummary } from './prometheus.js'
import type { Labels, MetricType, Sample, ValueReader } from './types.js'

/** Counters, gauges and durations of one node. */
export class Metrics {
  private readonly clock: Clock | undefined
  private readonly counters = new Map<string, number>()
  /** Counters and gauges that other modules maintain, read on each dump or scrape. */
  private readonly registered = new Map<string, { readonly type: MetricType, readonly read: ValueReader }>()
  private readonly durations = new Map<string, DurationRecorder>()

  private constructor (clock: Clock | undefined) {
    this.clock = clock
  }

  /** Without a clock, quantiles cover all durations since the start. */
  static create ({ clock }: { clock?: Clock } = {}): Metrics {
    return new Metrics(clock)
  }

  /**
   * Increases a counter by `amount`.
   *
   * @example
   * metrics.count('calls_total', { verdict: 'done' })
   */
  count (name: string, labels: Labels = {}, amount = 1): void {
    const series = formatSeries(name, labels)
    this.counters.set(series, (this.counters.get(series) ?? 0) + amount)
  }

  /** Exposes a value that another module maintains; `read` is called on each dump or scrape. */
  register (name: string, type: 'counter' | 'gauge', read: ValueReader, labels: Labels = {}): void {
    this.registered.set(formatSeries(name, labels), { type, read })
  }

  /** Records a duration in milliseconds. `name` ends in `_seconds`, the unit in which it is exposed. */
  recordDuration (name: string, milliseconds: number): void {
    this.getRecorder(name).record(milliseconds)
  }

  dump (): unknown {
    const durations = [...this.durations].map(([name, recorder]) => [name, dumpDurations(recorder)])
    return {
      counters: Object.fromEntries([...this.counters, ...this.readSamples('counter').map(toEntry)]),
      gauges: Object.fromEntries(this.readSamples('gauge').map(toEntry)),
      durations: Object.fromEntries(durations)
    }
  }

  /** All metrics in the Prometheus text format; durations are in seconds. */
  format (): string {
    const counterSamples = [...this.counters].map(([series, value]): Sample => ({ ...splitSeries(series), value }))
    const lines = [
      ...formatSamples('counter', [...counterSamples, ...this.readSamples('counter')]),
      ...formatSamples('gauge', this.readSamples('gauge')),
      ...[...this.durations].flatMap(([name, recorder]) => formatSummary(name, recorder.summarize()))
    ]
    return `${lines.join('\n')}\n`
  }

  private readSamples (type: MetricType): Sample[] {
    return [...this.registered].flatMap(([series, source]) => {
      if (source.type !== type) return []
      const value = source.read()
      return Number.isFinite(value) ? [{ ...splitSeries(series), value }] : []
    })
  }

  private getRecorder (name: string): DurationRecorder {
    const existing = this.durations.get(name)
    if (existing !== undefined) return existing
    const { clock } = this
    const created = DurationRecorder.create(clock === undefined ? () => 0 : () => clock.now())
    this.durations.set(name, created)
    return created
  }
}

function toEntry ({ name, labels, value }: Sample): [string, number] {
  return [`${name}${labels}`, value]
}

function dumpDurations (recorder: DurationRecorder): Record<string, number> {
  const { count, sumSeconds, quantileSeconds } = recorder.summarize()
  const rows = percentiles.map((percentile, index) => [`p${percentile}Ms`, (quantileSeconds[index] ?? 0) * 1000])
  return { count, sumSeconds, ...Object.fromEntries(rows) as Record<string, number> }
}
