/** One line of a plot. Each point is a multiple of the default budget and a p99 in milliseconds. */
export interface PlotLine {
  readonly name: string
  readonly points: ReadonlyArray<{ readonly multiple: number, readonly p99: number }>
}

const width = 640
const height = 360
const margin = 56
const colours = ['#1f5fa8', '#b5532a', '#3a7d44']

/** Draws an SVG of p99 against the measuring budget, with the budgets at even distances on the x axis. */
export function drawBudgetPlot (lines: readonly PlotLine[]): string {
  const multiples = lines[0]?.points.map(({ multiple }) => multiple) ?? []
  const maxP99 = Math.max(...lines.flatMap(({ points }) => points.map(({ p99 }) => p99))) * 1.1
  const computeX = (index: number): number => margin + index * (width - 2 * margin) / Math.max(1, multiples.length - 1)
  const computeY = (p99: number): number => height - margin - p99 / maxP99 * (height - 2 * margin)
  const elements = [
    ...multiples.map((multiple, index) => createText(computeX(index), height - margin + 18, `${multiple}x`, 'middle')),
    ...[0, 0.25, 0.5, 0.75, 1].map(share => createText(margin - 8, computeY(share * maxP99) + 4, (share * maxP99).toFixed(0), 'end')),
    ...lines.flatMap((line, index) => drawLine(line, computeX, computeY, colours[index % colours.length] as string, index)),
    createText(width / 2, height - 12, 'measuring budget, as a multiple of the default', 'middle'),
    createText(margin - 8, margin - 16, 'p99 ms', 'end')
  ]
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">\n<rect width="${width}" height="${height}" fill="white"/>\n<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="black"/>\n${elements.join('\n')}\n</svg>\n`
}

function drawLine ({ name, points }: PlotLine, computeX: (index: number) => number, computeY: (p99: number) => number, colour: string, index: number): string[] {
  const path = points.map(({ p99 }, pointIndex) => `${pointIndex === 0 ? 'M' : 'L'}${computeX(pointIndex).toFixed(1)} ${computeY(p99).toFixed(1)}`).join('')
  return [
    `<path d="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`,
    `<text x="${width - margin}" y="${margin + 16 * index}" text-anchor="end" fill="${colour}">${name}</text>`
  ]
}

function createText (x: number, y: number, content: string, anchor: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${content}</text>`
}
