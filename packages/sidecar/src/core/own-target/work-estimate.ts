import { workWeight } from './constants.js'

/** What requests of each route take on the target at its usual speed, in milliseconds. */
export class WorkEstimate {
  private readonly means = new Map<string, number>()

  private constructor () {}

  static create (): WorkEstimate {
    return new WorkEstimate()
  }

  record (route: string, milliseconds: number, slowness: number): void {
    const work = milliseconds / Math.max(1, slowness)
    const mean = this.means.get(route)
    this.means.set(route, mean === undefined ? work : mean + workWeight * (work - mean))
  }

  /** What was measured; before that, `first`. */
  read (route: string, first: number): number {
    return this.means.get(route) ?? first
  }
}
