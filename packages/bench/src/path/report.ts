import { writeResults } from '../results.js'
import { targetAddedMs } from './constants.js'
import type { Variant } from './load.js'

const percentiles = [50, 99, 99.9]

/** One line of the result: a figure with its unit. */
export interface Figure { readonly what: string, readonly value: number, readonly unit: string }

/** Latency of each way, and what the ways with nodes add to the direct one at the same percentile. */
export function describeLatencies (direct: Variant, indirect: readonly Variant[]): Figure[] {
  return percentiles.flatMap(percentile => [
    { what: `p${percentile} direct`, value: readMs(direct, percentile), unit: 'ms' },
    ...indirect.map(variant => ({
      what: `p${percentile} added by ${variant.name}`,
      value: round(readMs(variant, percentile) - readMs(direct, percentile)),
      unit: 'ms'
    }))
  ])
}

/** Prints each figure as a JSON line, then all of them as a table, and keeps them as results. */
export function reportFigures (figures: readonly Figure[]): void {
  const rows = figures.map(figure => ({ bench: 'path', ...figure }))
  for (const row of rows) process.stdout.write(`${JSON.stringify(row)}\n`)
  writeResults('path', rows)
  const width = Math.max(...figures.map(({ what }) => what.length))
  for (const { what, value, unit } of figures) process.stdout.write(`${what.padEnd(width)}  ${String(value).padStart(10)} ${unit}\n`)
  const getValue = (name: string): number => figures.find(({ what }) => what === name)?.value ?? Number.NaN
  const addedMs = getValue('p99 added by one node')
  process.stdout.write(`p99 added by one node is ${round(addedMs / getValue('p99 added by a raw pipe'))} times that of a raw pipe\n`)
  process.stdout.write(`p99 added by one node is ${round(addedMs / targetAddedMs)} times the target of ${targetAddedMs} ms\n`)
}

/** Rounds to a thousandth. */
export function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

function readMs (variant: Variant, percentile: number): number {
  return round(variant.latencies.getValueAtPercentile(percentile) / 1000)
}
