import { numberOf, readResults } from '../results.js'
import type { Row } from '../results.js'

/** The committed runs as a Markdown table: one line for each seed and size. */
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

function formatRow (row: Row): string {
  const names = String(row['names']).split(' ').join(', ')
  const findings = String(row['findings'])
  const cells = [numberOf(row, 'seed'), numberOf(row, 'vms'), numberOf(row, 'faults'), names, numberOf(row, 'requests'), numberOf(row, 'served'), findings === '' ? 'none' : findings]
  return `| ${cells.join(' | ')} |`
}
