/** One line of a plot; each point is a budget multiple and a p99 in milliseconds. */
export interface Line {
  readonly name: string
  readonly points: ReadonlyArray<{ readonly multiple: number, readonly p99: number }>
}

const width = 640
const height = 360
const margin = 56
const colours = ['#1f5fa8', '#b5532a', '#3a7d44']

/** An SVG of p99 against the measuring budget; the budgets stand at even distances. */
export function drawBudget (lines: readonly Line[]): string {
  const multiples = lines[0]?.points.map(({ multiple }) => multiple) ?? []
  const highest = Math.max(...lines.flatMap(({ points }) => points.map(({ p99 }) => p99))) * 1.1
  const x = (index: number): number => margin + index * (width - 2 * margin) / Math.max(1, multiples.length - 1)
  const y = (p99: number): number => height - margin - p99 / highest * (height - 2 * margin)
  const parts = [
    ...multiples.map((multiple, index) => text(x(index), height - margin + 18, `${multiple}x`, 'middle')),
    ...[0, 0.25, 0.5, 0.75, 1].map(share => text(margin - 8, y(share * highest) + 4, (share * highest).toFixed(0), 'end')),
    ...lines.flatMap((line, index) => drawLine(line, x, y, colours[index % colours.length] as string, index)),
    text(width / 2, height - 12, 'measuring budget, as a multiple of the default', 'middle'),
    text(margin - 8, margin - 16, 'p99 ms', 'end')
  ]
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">\n<rect width="${width}" height="${height}" fill="white"/>\n<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="black"/>\n${parts.join('\n')}\n</svg>\n`
}

function drawLine ({ name, points }: Line, x: (index: number) => number, y: (p99: number) => number, colour: string, index: number): string[] {
  const path = points.map(({ p99 }, at) => `${at === 0 ? 'M' : 'L'}${x(at).toFixed(1)} ${y(p99).toFixed(1)}`).join('')
  return [
    `<path d="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`,
    `<text x="${width - margin}" y="${margin + 16 * index}" text-anchor="end" fill="${colour}">${name}</text>`
  ]
}

function text (x: number, y: number, words: string, anchor: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${words}</text>`
}
