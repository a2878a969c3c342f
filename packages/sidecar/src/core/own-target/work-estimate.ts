import { workWeight } from './constants.js'

/** Estimates how long requests of each route take on the target at its usual speed, in milliseconds. */
export class WorkEstimate {
  private readonly means = new Map<string, number>()

  private constructor () {}

  static create (): WorkEstimate {
    return new WorkEstimate()
  }

  /** Adds the duration of a request; `slowness` is that of the target when the request started. */
  record (route: string, milliseconds: number, slowness: number): void {
    const workMs = milliseconds / Math.max(1, slowness)
    const mean = this.means.get(route)
    this.means.set(route, mean === undefined ? workMs : mean + workWeight * (workMs - mean))
  }

  /** The moving average of the route, or `initialMs` before the first measurement. */
  read (route: string, initialMs: number): number {
    return this.means.get(route) ?? initialMs
  }
}
