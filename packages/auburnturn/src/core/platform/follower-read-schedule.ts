import type { Clock } from '../clock/index.js'
import type { Random } from '../random/index.js'
import { minFollowerIntervalMs, followerReadShare } from './constants.js'

interface FollowerReadScheduleOptions {
  readonly clock: Clock
  readonly random: Random
  /** Reads a second that the whole fleet may make. */
  readonly fleetReadsPerSecond: number
  /** Nodes in the fleet as far as this node knows. */
  readonly fleetSize: () => number
}

/** Reads of one turn: configuration and members. */
const readsPerRound = 2

/**
 * This node's part of the fleet's reads. Turns are spread at random from the start on,
 * so that the bound holds without any message when all nodes start together.
 */
export class FollowerReadSchedule {
  private readonly options: FollowerReadScheduleOptions
  private nextAt: number

  private constructor (parts: FollowerReadScheduleOptions) {
    this.options = parts
    this.nextAt = parts.clock.now() + this.meanIntervalMs * parts.random.fraction()
  }

  static create (parts: FollowerReadScheduleOptions): FollowerReadSchedule {
    return new FollowerReadSchedule(parts)
  }

  /** Mean time between two turns of one node, in milliseconds. */
  get meanIntervalMs (): number {
    const { fleetSize: fleet, fleetReadsPerSecond: perSecond } = this.options
    return 1000 * readsPerRound * fleet() / (perSecond * followerReadShare)
  }

  /** Milliseconds until the next turn; 0 when it is due. */
  get waitMs (): number {
    return Math.max(0, this.nextAt - this.options.clock.now())
  }

  /** Takes the turn that is due. The next one is half to one and a half mean times away, and never sooner than `pauseMs`. */
  scheduleNext (pauseMs = minFollowerIntervalMs): void {
    const { clock, random } = this.options
    this.nextAt = clock.now() + Math.max(pauseMs, this.meanIntervalMs) * (0.5 + random.fraction())
  }
}
