import type { Call, Load } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { NotRunCause } from '../verdict/index.js'
import type { Admittance } from './types.js'

interface Waiter {
  readonly deadline: number
  readonly decide: (admittance: Admittance) => void
}

/** Slots and a short queue for one upstream. */
export class Admission {
  private readonly clock: Clock
  private readonly waiters: Waiter[] = []
  private running = 0
  private limit = 20
  private state: Load['state'] = 'serving'

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Admission {
    return new Admission(clock)
  }

  /** Resolves when the call may run or is refused; a refusal means that it did not run. */
  async admit (call: Call): Promise<Admittance> {
    this.limit = call.profile.admission.slots
    if (this.state !== 'serving') return refuse('admission-closed')
    if (this.clock.now() >= call.deadline) return refuse('deadline-expired')
    if (this.running < this.limit) return this.grant()
    if (this.waiters.length >= call.profile.admission.queue) return refuse('overloaded')
    return await this.wait(call)
  }

  /** Whether a call that enters here may run here without a look at other targets. */
  isBelow (share: number): boolean {
    return this.state === 'serving' && this.running < this.limit * share
  }

  get load (): Load {
    return { running: this.running, queued: this.waiters.length, limit: this.limit, state: this.state }
  }

  /** Takes new work again. */
  open (): void {
    this.state = 'serving'
  }

  /** Refuses new and queued work from now on; what runs goes on. */
  drain (): void {
    this.state = 'draining'
    for (const waiter of this.waiters.splice(0)) waiter.decide(refuse('admission-closed'))
  }

  dump (): unknown {
    return this.load
  }

  private async wait (call: Call): Promise<Admittance> {
    const deadline = Math.min(call.deadline, this.clock.now() + call.profile.timeouts.queueMs)
    return await new Promise<Admittance>(resolve => {
      const decide = (admittance: Admittance): void => {
        cancel()
        call.signal.removeEventListener('abort', leave)
        resolve(admittance)
      }
      const waiter: Waiter = { deadline, decide }
      const drop = (cause: NotRunCause): void => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1)
        decide(refuse(cause))
      }
      const leave = (): void => { drop('caller-gone') }
      const cancel = this.clock.after(deadline - this.clock.now(), () => { drop('queue-timeout') })
      call.signal.addEventListener('abort', leave, { once: true })
      this.waiters.push(waiter)
    })
  }

  private grant (): Admittance {
    this.running++
    let held = true
    const release = (): void => {
      if (!held) return
      held = false
      this.running--
      this.waiters.shift()?.decide(this.grant())
    }
    return { kind: 'admitted', release }
  }
}

function refuse (cause: NotRunCause): Admittance {
  return { kind: 'refused', cause }
}
