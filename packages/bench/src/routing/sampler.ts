import type { Random } from 'auburnturn'

/** Samples the exponential distribution with the given mean. */
export function drawExponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random.fraction())
}

/** Samples the log-normal distribution with the given mean and standard deviation of the logarithm. */
export function drawLogNormal (random: Random, mean: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()))
  const normal = radius * Math.cos(2 * Math.PI * random.fraction())
  return mean * Math.exp(sigma * normal - sigma * sigma / 2)
}
