import { percentiles, prefix } from './constants.js'
import { descriptions } from './metrics-data.js'
import type { DurationSummary, MetricType, Series } from './types.js'

/** Writes counters and gauges in the Prometheus text format, each metric with its HELP and TYPE. */
export function formatValues (type: MetricType, series: readonly Series[]): string[] {
  const names = [...new Set(series.map(({ name }) => name))]
  return names.flatMap(name => [
    ...describe(name, type),
    ...series.filter(one => one.name === name).map(({ labels, value }) => `${prefix}${name}${labels} ${formatNumber(value)}`)
  ])
}

/** Writes one duration as a summary, in seconds. */
export function formatSummary (name: string, { count, sumSeconds, seconds }: DurationSummary): string[] {
  const quantiles = percentiles.map((percentile, index) =>
    `${prefix}${name}{quantile="${percentile / 100}"} ${formatNumber(count === 0 ? Number.NaN : seconds[index] ?? Number.NaN)}`)
  return [...describe(name, 'summary'), ...quantiles, `${prefix}${name}_sum ${formatNumber(sumSeconds)}`, `${prefix}${name}_count ${count}`]
}

function describe (name: string, type: MetricType): string[] {
  const help = descriptions[name] ?? `${name.replaceAll('_', ' ')}.`
  return [`# HELP ${prefix}${name} ${help.replace(/\\/g, '\\\\').replace(/\n/g, '\\n')}`, `# TYPE ${prefix}${name} ${type}`]
}

function formatNumber (value: number): string {
  if (Number.isNaN(value)) return 'NaN'
  if (value === Infinity) return '+Inf'
  return value === -Infinity ? '-Inf' : String(value)
}
