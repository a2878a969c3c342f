import { metricPrefix, percentiles } from './constants.js'
import { descriptions } from './metrics-data.js'
import type { DurationSummary, MetricType, Sample } from './types.js'

/** Formats counters or gauges in the Prometheus text format, each metric with its HELP and TYPE lines. */
export function formatSamples (type: MetricType, samples: readonly Sample[]): string[] {
  const names = [...new Set(samples.map(({ name }) => name))]
  return names.flatMap(name => [
    ...formatHeader(name, type),
    ...samples.filter(sample => sample.name === name).map(({ labels, value }) => `${metricPrefix}${name}${labels} ${formatNumber(value)}`)
  ])
}

/** Formats the durations of one metric as a Prometheus summary, in seconds. */
export function formatSummary (name: string, { count, sumSeconds, quantileSeconds }: DurationSummary): string[] {
  const quantiles = percentiles.map((percentile, index) =>
    `${metricPrefix}${name}{quantile="${percentile / 100}"} ${formatNumber(count === 0 ? Number.NaN : quantileSeconds[index] ?? Number.NaN)}`)
  return [...formatHeader(name, 'summary'), ...quantiles, `${metricPrefix}${name}_sum ${formatNumber(sumSeconds)}`, `${metricPrefix}${name}_count ${count}`]
}

function formatHeader (name: string, type: MetricType): string[] {
  const help = descriptions[name] ?? `${name.replaceAll('_', ' ')}.`
  return [`# HELP ${metricPrefix}${name} ${help.replace(/\\/g, '\\\\').replace(/\n/g, '\\n')}`, `# TYPE ${metricPrefix}${name} ${type}`]
}

function formatNumber (value: number): string {
  if (Number.isNaN(value)) return 'NaN'
  if (value === Infinity) return '+Inf'
  return value === -Infinity ? '-Inf' : String(value)
}
