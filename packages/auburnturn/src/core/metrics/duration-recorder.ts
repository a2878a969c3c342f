import type { Histogram } from 'hdr-histogram-js'
// The index of the package also loads its WebAssembly build, which costs 12 MB of resident memory.
import int32Module from 'hdr-histogram-js/dist/Int32Histogram.js'
import { initialMaxDurationMicroseconds, maxDurationMicroseconds, percentiles, quantileWindowMs, significantDigits } from './constants.js'
import type { DurationSummary } from './types.js'

const Int32Histogram = int32Module.default

/** Records the durations of one metric: quantiles over the last one to two windows, count and sum since the start. */
export class DurationRecorder {
  private readonly now: () => number
  private current = createHistogram()
  private previous = createHistogram()
  private windowStartedAt: number
  private count = 0
  private sumMs = 0

  private constructor (now: () => number) {
    this.now = now
    this.windowStartedAt = now()
  }

  /** `now` returns the time of a monotonic clock, in milliseconds. */
  static create (now: () => number): DurationRecorder {
    return new DurationRecorder(now)
  }

  record (milliseconds: number): void {
    const duration = Math.max(0, milliseconds)
    this.rotateWindows()
    this.count++
    this.sumMs += duration
    this.current.recordValue(Math.min(maxDurationMicroseconds, Math.round(duration * 1000)))
  }

  summarize (): DurationSummary {
    this.rotateWindows()
    const recent = createHistogram()
    recent.add(this.previous)
    recent.add(this.current)
    const quantileSeconds = percentiles.map(percentile => recent.getValueAtPercentile(percentile) / 1e6)
    return { count: this.count, sumSeconds: this.sumMs / 1000, quantileSeconds }
  }

  private rotateWindows (): void {
    const elapsed = this.now() - this.windowStartedAt
    if (elapsed < quantileWindowMs) return
    this.previous = elapsed < 2 * quantileWindowMs ? this.current : createHistogram()
    this.current = createHistogram()
    this.windowStartedAt = this.now()
  }
}

function createHistogram (): Histogram {
  const histogram = new Int32Histogram(1, initialMaxDurationMicroseconds, significantDigits)
  histogram.autoResize = true
  return histogram
}
