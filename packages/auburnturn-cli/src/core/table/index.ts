/** Formats plain-text tables for a terminal. */

const columnGap = '  '

/** Aligns `rows` below `headings`; every row must have one cell per heading. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const lines = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...lines.map(line => (line[column] ?? '').length)))
  return lines
    .map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnGap).trimEnd())
    .join('\n')
}
