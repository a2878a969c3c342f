import { readFileSync, writeFileSync } from 'node:fs'
import { faults } from './faults.js'
import type { CellResult } from './matrix.js'
import { steps } from './steps.js'

/** Results of one run of the matrix, its pairs and its histories. */
export interface MatrixResults {
  readonly seed: number
  readonly cells: readonly CellResult[]
  readonly pairs: { readonly runs: number, readonly violations: number }
  readonly interleavings: { readonly runs: number, readonly violations: number }
}

/** Formats Markdown: a table of faults by steps with runs and violations, the totals, and the cells that cannot exist. */
export function formatTable ({ seed, cells, pairs, interleavings }: MatrixResults): string {
  const possible = cells.filter(({ cell }) => cell.impossibleReason === undefined)
  const covered = possible.filter(({ runs }) => runs > 0)
  const runs = sum(cells.map(result => result.runs))
  const violations = sum(cells.map(({ findings }) => findings.length))
  return [
    `| fault | ${steps.join(' | ')} |`,
    `|---|${steps.map(() => '---').join('|')}|`,
    ...faults.map(fault => `| ${fault} | ${steps.map(step => formatCell(cells.find(({ cell }) => cell.fault === fault && cell.step === step))).join(' | ')} |`),
    '',
    `Each cell gives its runs, and violations where there were any. Seed ${seed}.`,
    '',
    '| what | runs | violations |',
    '|---|---|---|',
    `| ${covered.length} of ${possible.length} cells that can exist, three kinds of calls each | ${runs} | ${violations} |`,
    `| pairs of cells over HTTP | ${pairs.runs} | ${pairs.violations} |`,
    `| concurrent histories of resends in memory | ${interleavings.runs} | ${interleavings.violations} |`,
    '',
    `Cells that cannot exist (${cells.length - possible.length}):`,
    '',
    ...cells.flatMap(({ cell }) => cell.impossibleReason === undefined ? [] : [`- ${cell.fault} at ${cell.step}: ${cell.impossibleReason}.`])
  ].join('\n')
}

/** Replaces the text between the markers `name:start` and `name:end` of a Markdown file with `table`. */
export function writeTable (file: string, table: string, name = 'matrix'): void {
  const startMarker = `<!-- ${name}:start -->`
  const endMarker = `<!-- ${name}:end -->`
  const text = readFileSync(file, 'utf8')
  const start = text.indexOf(startMarker)
  const end = text.indexOf(endMarker)
  if (start < 0 || end < start) throw new Error(`${file} does not contain ${startMarker} followed by ${endMarker}`)
  writeFileSync(file, `${text.slice(0, start + startMarker.length)}\n${table}\n${text.slice(end)}`)
}

function formatCell (result: CellResult | undefined): string {
  if (result === undefined) return 'missing'
  if (result.cell.impossibleReason !== undefined) return '–'
  return result.findings.length === 0 ? String(result.runs) : `${result.runs}, **${result.findings.length}**`
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
