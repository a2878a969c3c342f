/** The committed result files: one JSON object a line. */
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** One measured case: names and numbers. */
export type ResultRow = Readonly<Record<string, unknown>>

const resultsFolder = fileURLToPath(new URL('../../results/', import.meta.url))

/** The lines of a committed result file; empty when there is none. */
export function readResults (name: string): readonly ResultRow[] {
  const file = `${resultsFolder}${name}.json`
  if (!existsSync(file)) return []
  return readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as ResultRow)
}

/** Replaces a result file. */
export function writeResults (name: string, rows: readonly ResultRow[]): void {
  writeFileSync(`${resultsFolder}${name}.json`, rows.map(row => `${JSON.stringify(row)}\n`).join(''))
}

/** Adds a line to a result file. */
export function appendResult (name: string, row: ResultRow): void {
  appendFileSync(`${resultsFolder}${name}.json`, `${JSON.stringify(row)}\n`)
}

/** A number of a row; throws when it is missing, so that no table is made of nothing. */
export function getNumber (row: ResultRow | undefined, field: string): number {
  const value = row?.[field]
  if (typeof value !== 'number') throw new Error(`the results have no number ${field}`)
  return value
}
