import type { Share } from './types.js'

/** Picks among services in the proportion of their weights: smooth weighted round robin. */
export class WeightedSplit {
  private readonly shares: readonly Share[]
  private readonly credits: number[]
  private readonly totalWeight: number

  private constructor (shares: readonly Share[], startFraction: number) {
    this.shares = shares
    this.totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0)
    // Nodes begin at different points, so that the rare parts do not coincide.
    this.credits = shares.map(({ weight }) => weight * startFraction)
  }

  /** `fraction`, in [0, 1), is the point of the cycle to begin at. */
  static create (shares: readonly Share[], startFraction: number): WeightedSplit {
    return new WeightedSplit(shares, startFraction)
  }

  /** The service of the next request. */
  next (): string {
    let best = 0
    for (let index = 0; index < this.shares.length; index++) {
      const credit = (this.credits[index] as number) + (this.shares[index] as Share).weight
      this.credits[index] = credit
      if (credit > (this.credits[best] as number)) best = index
    }
    this.credits[best] = (this.credits[best] as number) - this.totalWeight
    return (this.shares[best] as Share).service
  }
}
