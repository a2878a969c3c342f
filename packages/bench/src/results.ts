/** Reads and writes the committed result files, which hold one JSON object per line. */
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** One measured case: its name and figures. */
export type ResultRow = Readonly<Record<string, unknown>>

const resultsFolder = fileURLToPath(new URL('../../results/', import.meta.url))

/** Returns the rows of a committed result file; none if the file does not exist. */
export function readResults (name: string): readonly ResultRow[] {
  const file = `${resultsFolder}${name}.json`
  if (!existsSync(file)) return []
  return readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as ResultRow)
}

/** Replaces the rows of a result file. */
export function writeResults (name: string, rows: readonly ResultRow[]): void {
  writeFileSync(`${resultsFolder}${name}.json`, rows.map(row => `${JSON.stringify(row)}\n`).join(''))
}

/** Appends a row to a result file. */
export function appendResult (name: string, row: ResultRow): void {
  appendFileSync(`${resultsFolder}${name}.json`, `${JSON.stringify(row)}\n`)
}

/** Returns a numeric field of a row; throws if it is missing, so that no table is built from incomplete results. */
export function getNumber (row: ResultRow | undefined, field: string): number {
  const value = row?.[field]
  if (typeof value !== 'number') throw new Error(`the results have no numeric field ${field}`)
  return value
}
