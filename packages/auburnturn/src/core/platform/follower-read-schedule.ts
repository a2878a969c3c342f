import type { Clock } from '../clock/index.js'
import type { Random } from '../random/index.js'
import { followerReadShare, minFollowerIntervalMs } from './constants.js'

interface FollowerReadScheduleOptions {
  readonly clock: Clock
  readonly random: Random
  /** Maximum reads per second of the whole fleet. */
  readonly fleetReadsPerSecond: number
  /** Number of nodes in the fleet, as known to this node. */
  readonly fleetSize: () => number
}

/** Reads per round: configuration and members. */
const readsPerRound = 2

/**
 * Schedules the platform reads of a node that is not an elected reader, so that all such nodes together stay within
 * their share of the fleet's reads. Rounds are spread at random from the start, so the limit also holds without any
 * message between nodes when all nodes start together.
 */
export class FollowerReadSchedule {
  private readonly options: FollowerReadScheduleOptions
  private nextAt: number

  private constructor (options: FollowerReadScheduleOptions) {
    this.options = options
    this.nextAt = options.clock.now() + this.meanIntervalMs * options.random.fraction()
  }

  static create (options: FollowerReadScheduleOptions): FollowerReadSchedule {
    return new FollowerReadSchedule(options)
  }

  /** Mean time between two rounds of one node, in milliseconds. */
  get meanIntervalMs (): number {
    const { fleetSize, fleetReadsPerSecond } = this.options
    return 1000 * readsPerRound * fleetSize() / (fleetReadsPerSecond * followerReadShare)
  }

  /** Time until the next round, in milliseconds; 0 if it is due. */
  get waitMs (): number {
    return Math.max(0, this.nextAt - this.options.clock.now())
  }

  /** Schedules the next round. The wait is 0.5 to 1.5 times the mean interval, which is at least `minMeanMs`. */
  scheduleNext (minMeanMs = minFollowerIntervalMs): void {
    const { clock, random } = this.options
    this.nextAt = clock.now() + Math.max(minMeanMs, this.meanIntervalMs) * (0.5 + random.fraction())
  }
}
