import type { Share } from './types.js'

/** Distributes requests over services in proportion to their weights, by smooth weighted round robin. */
export class WeightedSplit {
  private readonly shares: readonly Share[]
  private readonly credits: number[]
  private readonly totalWeight: number

  private constructor (shares: readonly Share[], startFraction: number) {
    this.shares = shares
    this.totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0)
    // Nodes start at different points of the cycle, so that they don't all choose a service of low weight at the same time.
    this.credits = shares.map(({ weight }) => weight * startFraction)
  }

  /** Creates a split whose cycle starts at `startFraction`, in [0, 1). */
  static create (shares: readonly Share[], startFraction: number): WeightedSplit {
    return new WeightedSplit(shares, startFraction)
  }

  /** Returns the service for the next request. */
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
