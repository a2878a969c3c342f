import { getNumber, readResults } from '../results.js'
import type { ResultRow } from '../results.js'

/** Formats the committed results of the soak as a Markdown table with one line for each run. */
export function formatSoakTable (): string {
  const rows = readResults('soak')
  const clean = rows.filter(({ findings }) => findings === '').length
  return [
    `${rows.length} runs, ${clean} without findings.`,
    '',
    '| seed | VMs | faults | of kinds | requests | served | findings |',
    '|---|---|---|---|---|---|---|',
    ...rows.map(formatRow)
  ].join('\n')
}

function formatRow (row: ResultRow): string {
  const names = String(row['names']).split(' ').join(', ')
  const findings = String(row['findings'])
  const cells = [getNumber(row, 'seed'), getNumber(row, 'vms'), getNumber(row, 'faults'), names, getNumber(row, 'requests'), getNumber(row, 'served'), findings === '' ? 'none' : findings]
  return `| ${cells.join(' | ')} |`
}
