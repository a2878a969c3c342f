import { done, mayHaveRun, notRun } from 'auburnturn'
import type { CancelSignal, Outcome } from 'auburnturn'
import type { VirtualTime } from './virtual-time.js'

/** How fast an upstream works from now on: 1 is usual, and until when that holds. */
export type Speed = (now: number) => { readonly factor: number, readonly until: number }

/** Whether an upstream fails at this moment: answers 503 at once, refuses connections, or loses them. */
export type Failure = (now: number) => 'none' | 'fail-fast' | 'refuse' | 'lose'

interface Job { readonly finish: (outcome: Outcome) => void }

const failFastMs = 0.2

/** A fake upstream: calls run at its speed of each moment; more than its slots wait inside. */
export class Upstream {
  private readonly time: VirtualTime
  private readonly speed: Speed
  private readonly failure: Failure
  private readonly jobs = new Set<Job>()
  private downUntil = -Infinity
  crashes = 0

  private constructor (time: VirtualTime, speed: Speed, failure: Failure) {
    this.time = time
    this.speed = speed
    this.failure = failure
  }

  static create (options: { time: VirtualTime, speed: Speed, failure: Failure }): Upstream {
    return new Upstream(options.time, options.speed, options.failure)
  }

  /** Works `workMs` at speed 1 on a call; aborting gives the slot back. */
  async run (workMs: number, signal: CancelSignal, deadline: number): Promise<Outcome> {
    const now = this.time.now()
    if (now < this.downUntil) return { verdict: notRun('connect-failed') }
    const failure = this.failure(now)
    if (failure === 'refuse') return { verdict: notRun('connect-failed') }
    if (failure === 'fail-fast') return await this.after(failFastMs, { verdict: done, status: 503 })
    if (failure === 'lose') return await this.after(failFastMs, { verdict: mayHaveRun('connection-lost') })
    const end = this.findEnd(now, workMs)
    return await this.work(Math.min(end, deadline) - now, end <= deadline, signal)
  }

  /** Dies with everything in flight, and is back after `downMs`. */
  crash (downMs: number): void {
    this.crashes++
    this.downUntil = this.time.now() + downMs
    for (const job of [...this.jobs]) job.finish({ verdict: mayHaveRun('connection-lost') })
  }

  private async work (milliseconds: number, inTime: boolean, signal: CancelSignal): Promise<Outcome> {
    return await new Promise<Outcome>(resolve => {
      const finish = (outcome: Outcome): void => {
        this.time.clearTimer(timer)
        this.jobs.delete(job)
        signal.removeEventListener('abort', leave)
        resolve(outcome)
      }
      const job = { finish }
      const leave = (): void => { finish({ verdict: mayHaveRun('caller-gone') }) }
      const timer = this.time.setTimer(() => {
        finish(inTime ? { verdict: done, status: 200 } : { verdict: mayHaveRun('timeout') })
      }, milliseconds)
      this.jobs.add(job)
      signal.addEventListener('abort', leave, { once: true })
    })
  }

  private async after (milliseconds: number, outcome: Outcome): Promise<Outcome> {
    return await new Promise(resolve => { this.time.setTimer(() => { resolve(outcome) }, milliseconds) })
  }

  private findEnd (now: number, workMs: number): number {
    let at = now
    let left = workMs
    for (;;) {
      const { factor, until } = this.speed(at)
      const needed = left / factor
      if (at + needed <= until) return at + needed
      left -= (until - at) * factor
      at = until
    }
  }
}
