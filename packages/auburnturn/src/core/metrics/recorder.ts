// The package's index also loads its WebAssembly and pako: 7 MB of resident memory.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js'
import type { Histogram } from 'hdr-histogram-js'
import { highestMicroseconds, percentiles, windowMs } from './constants.js'
import type { DurationSummary } from './types.js'

/** Durations of one kind: quantiles of the last one to two windows, and totals since the start. */
export class Recorder {
  private readonly now: () => number
  private current = createHistogram()
  private previous = createHistogram()
  private startedAt: number
  private count = 0
  private sumMs = 0

  private constructor (now: () => number) {
    this.now = now
    this.startedAt = now()
  }

  /** `now` gives clock milliseconds. */
  static create (now: () => number): Recorder {
    return new Recorder(now)
  }

  record (milliseconds: number): void {
    const duration = Math.max(0, milliseconds)
    this.rotate()
    this.count++
    this.sumMs += duration
    this.current.recordValue(Math.min(highestMicroseconds, Math.round(duration * 1000)))
  }

  summarize (): DurationSummary {
    this.rotate()
    const recent = createHistogram()
    recent.add(this.previous)
    recent.add(this.current)
    const seconds = percentiles.map(percentile => recent.getValueAtPercentile(percentile) / 1e6)
    return { count: this.count, sumSeconds: this.sumMs / 1000, seconds }
  }

  private rotate (): void {
    const elapsed = this.now() - this.startedAt
    if (elapsed < windowMs) return
    this.previous = elapsed < 2 * windowMs ? this.current : createHistogram()
    this.current = createHistogram()
    this.startedAt = this.now()
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2, useWebAssembly: false })
}
