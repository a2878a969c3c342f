import type { Clock } from '../clock/index.js'
import type { Balancer } from '../routing/index.js'
import { HedgeDelay } from './hedge-delay.js'
import { RetryBudget } from './retry-budget.js'
import { TimeoutQueue } from './timeout-queue.js'

/** The state that a router holds for one service that it calls. */
export class ServiceState {
  readonly balancer: Balancer
  readonly budget = RetryBudget.create()
  readonly hedgeDelay = HedgeDelay.create()
  readonly hedgeTimeouts: TimeoutQueue
  /** Attempts for which the local target was chosen without using the balancer. */
  localRuns = 0
  /** Second attempts that were sent because the first was overdue. */
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
