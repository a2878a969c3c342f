import type { Labels } from './types.js'

/** Formats a series name with its labels, escaped for the Prometheus text format: `calls_total{verdict="done"}`. */
export function formatSeries (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

/** Splits the result of `formatSeries` into the name and the labels in braces. */
export function splitSeries (series: string): { readonly name: string, readonly labels: string } {
  const brace = series.indexOf('{')
  return brace === -1 ? { name: series, labels: '' } : { name: series.slice(0, brace), labels: series.slice(brace) }
}

function escapeLabel (value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n')
}
