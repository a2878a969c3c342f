import { writeResults } from '../results.js'
import { targetAddedMs } from './constants.js'
import type { Variant } from './load.js'

const percentiles = [50, 99, 99.9]

/** One result: a named value with its unit. */
export interface Figure { readonly what: string, readonly value: number, readonly unit: string }

/** Returns the latency of the direct variant, and what each other variant adds to it at the same percentile. */
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

/** Prints each figure as a JSON line, writes the result file, and prints all figures as a table. */
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

/** Rounds to three decimal places. */
export function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

function readMs (variant: Variant, percentile: number): number {
  return round(variant.latencies.getValueAtPercentile(percentile) / 1000)
}
