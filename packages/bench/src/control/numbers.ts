/** Returns the value below which the given fraction of the values lies; 1 gives the largest value. */
export function computeQuantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] as number
}

/** Resolves after the given time. */
export async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Fits a line to the points by least squares. */
export function fitLine (points: ReadonlyArray<readonly [number, number]>): { slope: number, intercept: number } {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}
