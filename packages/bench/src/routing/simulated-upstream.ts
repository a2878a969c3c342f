import { done, mayHaveRun, notRun } from 'auburnturn'
import type { CancelSignal, Outcome } from 'auburnturn'
import type { VirtualTime } from './virtual-time.js'

/** The speed of an upstream at a given time, where 1 is usual, and the time until which it stays the same. */
export type SpeedSchedule = (now: number) => { readonly relativeSpeed: number, readonly validUntil: number }

/** How an upstream fails at a given time: it answers 503 immediately, refuses connections, or loses them. */
export type FailureSchedule = (now: number) => 'none' | 'fail-fast' | 'refuse' | 'lose'

interface RunningCall { readonly finish: (outcome: Outcome) => void }

/** Time until a failing upstream answers 503 or loses the connection, in milliseconds. */
const failureDelayMs = 0.2

/** A simulated upstream. Calls run in parallel at the speed of its schedule; admission limits them to its slots. */
export class SimulatedUpstream {
  private readonly time: VirtualTime
  private readonly speed: SpeedSchedule
  private readonly failure: FailureSchedule
  private readonly runningCalls = new Set<RunningCall>()
  private downUntil = -Infinity
  crashCount = 0

  private constructor (time: VirtualTime, speed: SpeedSchedule, failure: FailureSchedule) {
    this.time = time
    this.speed = speed
    this.failure = failure
  }

  static create (options: { time: VirtualTime, speed: SpeedSchedule, failure: FailureSchedule }): SimulatedUpstream {
    return new SimulatedUpstream(options.time, options.speed, options.failure)
  }

  /** Runs a call that takes `workMs` at relative speed 1. An abort ends it immediately, which releases the slot. */
  async run (workMs: number, signal: CancelSignal, deadline: number): Promise<Outcome> {
    const now = this.time.now()
    if (now < this.downUntil) return { verdict: notRun('connect-failed') }
    const failure = this.failure(now)
    if (failure === 'refuse') return { verdict: notRun('connect-failed') }
    if (failure === 'fail-fast') return await this.resolveAfter(failureDelayMs, { verdict: done, status: 503 })
    if (failure === 'lose') return await this.resolveAfter(failureDelayMs, { verdict: mayHaveRun('connection-lost') })
    const end = this.computeEnd(now, workMs)
    return await this.runFor(Math.min(end, deadline) - now, end <= deadline, signal)
  }

  /** Ends all calls in flight with a lost connection, and refuses connections for `downMs`. */
  crash (downMs: number): void {
    this.crashCount++
    this.downUntil = this.time.now() + downMs
    for (const runningCall of [...this.runningCalls]) runningCall.finish({ verdict: mayHaveRun('connection-lost') })
  }

  private async runFor (durationMs: number, inTime: boolean, signal: CancelSignal): Promise<Outcome> {
    return await new Promise<Outcome>(resolve => {
      const finish = (outcome: Outcome): void => {
        this.time.clearTimer(timer)
        this.runningCalls.delete(runningCall)
        signal.removeEventListener('abort', handleAbort)
        resolve(outcome)
      }
      const runningCall = { finish }
      const handleAbort = (): void => { finish({ verdict: mayHaveRun('caller-gone') }) }
      const timer = this.time.setTimer(() => {
        finish(inTime ? { verdict: done, status: 200 } : { verdict: mayHaveRun('timeout') })
      }, durationMs)
      this.runningCalls.add(runningCall)
      signal.addEventListener('abort', handleAbort, { once: true })
    })
  }

  private async resolveAfter (delayMs: number, outcome: Outcome): Promise<Outcome> {
    return await new Promise(resolve => { this.time.setTimer(() => { resolve(outcome) }, delayMs) })
  }

  /** The time at which work that starts at `now` ends, through all changes of speed. */
  private computeEnd (now: number, workMs: number): number {
    let segmentStart = now
    let remainingMs = workMs
    for (;;) {
      const { relativeSpeed, validUntil } = this.speed(segmentStart)
      const neededMs = remainingMs / relativeSpeed
      if (segmentStart + neededMs <= validUntil) return segmentStart + neededMs
      remainingMs -= (validUntil - segmentStart) * relativeSpeed
      segmentStart = validUntil
    }
  }
}
