import type { Clock } from '../clock/index.js'
import type { Balancer } from '../routing/index.js'
import { HedgeDelay } from './hedge-delay.js'
import { TimeoutQueue } from './timeout-queue.js'
import { RetryBudget } from './retry-budget.js'

/** What a router keeps for one service that it calls. */
export class ServiceState {
  readonly balancer: Balancer
  readonly budget = RetryBudget.create()
  readonly hedgeDelay = HedgeDelay.create()
  readonly hedgeTimeouts: TimeoutQueue
  /** Attempts that ran on this node's own target without asking the balancer. */
  localRuns = 0
  hedges = 0

  private constructor (balancer: Balancer, clock: Clock) {
    this.balancer = balancer
    this.hedgeTimeouts = TimeoutQueue.create(clock)
  }

  static create (balancer: Balancer, clock: Clock): ServiceState {
    return new ServiceState(balancer, clock)
  }

  dump (): unknown {
    return {
      retries: this.budget.dump(),
      localRuns: this.localRuns,
      hedges: this.hedges,
      hedgeDelayMs: this.hedgeDelay.milliseconds,
      targets: this.balancer.dump()
    }
  }
}
