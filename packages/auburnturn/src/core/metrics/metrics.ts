import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Longest duration that a histogram tells apart, in microseconds. */
const highestMicroseconds = 60_000_000

const quantiles = [50, 99, 99.9]

/** Counters by name, and histograms of durations by name. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly histograms = new Map<string, Histogram>()

  private constructor () {}

  static create (): Metrics {
    return new Metrics()
  }

  /** Adds to a counter; `name` may end in labels such as `{verdict="done"}`. */
  count (name: string, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount)
  }

  /** Records a duration in milliseconds. */
  record (name: string, milliseconds: number): void {
    const microseconds = Math.min(highestMicroseconds, Math.max(0, Math.round(milliseconds * 1000)))
    this.histogramOf(name).recordValue(microseconds)
  }

  dump (): unknown {
    const histograms = [...this.histograms].map(([name, histogram]) => [name, summarize(histogram)])
    return { counters: Object.fromEntries(this.counters), histograms: Object.fromEntries(histograms) }
  }

  /** The Prometheus text format; durations are in seconds. */
  format (): string {
    const lines = [...this.counters].map(([name, value]) => `auburnturn_${name} ${value}`)
    for (const [name, histogram] of this.histograms) {
      for (const quantile of quantiles) {
        const seconds = histogram.getValueAtPercentile(quantile) / 1e6
        lines.push(`auburnturn_${name}_seconds{quantile="${quantile / 100}"} ${seconds}`)
      }
      lines.push(`auburnturn_${name}_seconds_count ${histogram.totalCount}`)
    }
    return `${lines.join('\n')}\n`
  }

  private histogramOf (name: string): Histogram {
    const known = this.histograms.get(name)
    if (known !== undefined) return known
    const fresh = build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 })
    this.histograms.set(name, fresh)
    return fresh
  }
}

function summarize (histogram: Histogram): Record<string, number> {
  const rows = quantiles.map(quantile => [`p${quantile}Ms`, histogram.getValueAtPercentile(quantile) / 1000])
  return { count: histogram.totalCount, ...Object.fromEntries(rows) as Record<string, number> }
}
