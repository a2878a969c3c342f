import type { CallReport } from './types.js'

const verdictMeanings: Record<CallReport['verdict'], string> = {
  done: 'the request ran and this is its whole answer',
  'not-run': 'the request did not run; it is safe to send it again',
  'may-have-run': 'the request may have run; do not repeat it unless it is idempotent'
}

/** Formats a report as text: verdict, cause, status, time and tried targets, then the response body. */
export function formatReport (report: CallReport): string {
  const lines = [`verdict  ${report.verdict}: ${verdictMeanings[report.verdict]}`]
  if (report.cause !== undefined) lines.push(`cause    ${report.cause}`)
  lines.push(`status   ${report.status ?? '-'}`)
  lines.push(`time     ${report.milliseconds.toFixed(1)} ms`)
  lines.push(`way      ${report.way ?? '-'}`)
  if (report.body !== '') lines.push('', report.body)
  return lines.join('\n')
}
