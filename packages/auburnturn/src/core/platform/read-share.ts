import type { Clock } from '../clock/index.js'
import type { Random } from '../random/index.js'
import { minTurnMs, unelectedShare } from './constants.js'

interface Parts {
  readonly clock: Clock
  readonly random: Random
  /** Reads a second that the whole fleet may make. */
  readonly perSecond: number
  /** Nodes in the fleet as far as this node knows. */
  readonly fleet: () => number
}

/** Reads of one turn: configuration and members. */
const readsPerTurn = 2

/**
 * This node's part of the fleet's reads. Turns are spread at random from the start on,
 * so that the bound holds without any message when all nodes start together.
 */
export class ReadShare {
  private readonly parts: Parts
  private nextAt: number

  private constructor (parts: Parts) {
    this.parts = parts
    this.nextAt = parts.clock.now() + this.turnMs * parts.random.fraction()
  }

  static create (parts: Parts): ReadShare {
    return new ReadShare(parts)
  }

  /** Mean time between two turns of one node, in milliseconds. */
  get turnMs (): number {
    const { fleet, perSecond } = this.parts
    return 1000 * readsPerTurn * fleet() / (perSecond * unelectedShare)
  }

  /** Milliseconds until the next turn; 0 when it is due. */
  get waitMs (): number {
    return Math.max(0, this.nextAt - this.parts.clock.now())
  }

  /** Takes the turn that is due. The next one is half to one and a half mean times away, and never sooner than `pauseMs`. */
  take (pauseMs = minTurnMs): void {
    const { clock, random } = this.parts
    this.nextAt = clock.now() + Math.max(pauseMs, this.turnMs) * (0.5 + random.fraction())
  }
}
