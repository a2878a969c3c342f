/**
 * Shows where the worth of a played day was lost: by kind of request and ending, by span of time, by price, and in the worst spans
 * by the causes that the nodes logged: `npm run bench -- losses SITE REPORT [LOG]`.
 */
import { readFileSync } from 'node:fs'
import { countCauses } from './refusals.js'
import { readWorths } from './report.js'
import type { DayReport, KindWorth, ReportRow } from './report.js'

/** Number of the worst spans that are shown with their causes, and their length in seconds. */
const worstSpans = 3
const spanS = 2

/** Causes that are shown of each span. */
const shownCauses = 8

const [siteFile, reportFile, logFile] = process.argv.slice(3)
if (siteFile === undefined || reportFile === undefined) {
  process.stderr.write('Usage: npm run bench -- losses SITE REPORT [LOG]\n')
  process.exit(2)
}
const worths = readWorths(readFileSync(siteFile, 'utf8'))
const report = JSON.parse(readFileSync(reportFile, 'utf8')) as DayReport
const log = logFile === undefined ? '' : readFileSync(logFile, 'utf8')

print(formatKinds(report.classes))
print(formatEndings(report))
print(formatPrices(report))
print(formatSpans(report.windows))
for (const { name } of findWorstSpans(report.windows)) print(formatSpan(report, Number(name)))

function print (lines: readonly string[]): void {
  process.stdout.write(`${lines.join('\n')}\n\n`)
}

/** Worth lost by kind and ending, as shares of what is owed on the whole day; they add up to the loss before prices. */
function formatKinds (kinds: readonly ReportRow[]): string[] {
  const owed = kinds.reduce((sum, kind) => sum + kind.n * findWorth(kind).inTime, 0)
  const rows = kinds.filter(({ n }) => n > 0).map(kind => {
    const { inTime, late } = findWorth(kind)
    const lost = [kind.refused * inTime, kind.failed * inTime, kind.late * (inTime - late)].map(worth => worth / owed)
    return { name: kind.name, lost }
  })
  const total = { name: 'all', lost: [0, 1, 2].map(index => rows.reduce((sum, { lost }) => sum + (lost[index] ?? 0), 0)) }
  const cells = [...rows, total].map(({ name, lost }) => [name, ...lost, lost.reduce((sum, value) => sum + value, 0)])
  return ['worth lost, share of the day', formatRow(['kind', 'refused', 'failed', 'late', 'together']), ...cells.map(formatRow)]
}

function findWorth ({ name }: ReportRow): KindWorth {
  return worths.get(name) ?? { inTime: 0, late: 0 }
}

function formatEndings ({ unserved_by: endings }: DayReport): string[] {
  return ['callers not served, by the end of their last attempt', ...endings.map(([how, count]) => formatRow([how, String(count)]))]
}

function formatPrices ({ G, prices }: DayReport): string[] {
  const charged = prices.filter(([,, worth]) => worth >= 0.001).map(([name,, worth]) => formatRow([name, worth]))
  return [`prices; worth of the day ${G.toFixed(3)}`, ...charged]
}

function formatSpans (spans: readonly ReportRow[]): string[] {
  return ['second, share of the worth earned, refused, failed, late', ...spans.map(({ name, worth, refused, failed, late }) => formatRow([name, worth, String(refused), String(failed), String(late)]))]
}

function findWorstSpans (spans: readonly ReportRow[]): ReportRow[] {
  return [...spans].sort((one, other) => one.worth - other.worth).slice(0, worstSpans)
}

/** What struck in a span, and why the nodes refused or failed requests in it. */
function formatSpan ({ events }: DayReport, fromS: number): string[] {
  const struck = events.filter(({ at_s: at, to_s: to }) => at < fromS + spanS && to > fromS).map(({ kind }) => kind)
  const causes = countCauses(log, fromS, fromS + spanS).slice(0, shownCauses)
  const rows = causes.map(({ event, cause, service, count, tookMs }) => formatRow([`${event} ${cause}`, service, String(count), event === 'refused' ? '' : `${(tookMs / count).toFixed(0)} ms`]))
  return [`from second ${fromS}: ${struck.join(', ')}`, ...rows]
}

function formatRow (cells: ReadonlyArray<string | number>): string {
  const [first = '', ...others] = cells.map(cell => typeof cell === 'number' ? cell.toFixed(3) : cell)
  return first.padEnd(34) + others.map(cell => cell.padStart(10)).join('')
}
