import { Random } from 'auburnturn/core/random'
import type { VirtualTime } from '../routing/virtual-time.js'
import type { TargetGroup } from './types.js'

/** Share of its slots above which all work at a target slows down, and by how much. */
const crowding = { share: 0.8, factor: 1.7 }

/** Standard deviation of work, as a share of its mean. */
const workSpread = 0.3

/** Length of the sliding window in which the use of a rate limit is measured, in milliseconds. */
const rateLimitWindowMs = 4_000

/** Result of one request at a simulated target. */
export type TargetResult = 'done' | 'rejected' | 'call-failed' | 'expired'

/** A target with slots, a queue of its own, slow moments, and requests that make calls. */
export class SimulatedTarget {
  readonly id: string
  readonly group: TargetGroup
  running = 0
  /** Requests per second that the target takes; undefined without a limit. */
  rateLimit: number | undefined
  /** Most requests that arrived within `rateLimitWindowMs` under a limit, as a multiple of what it allows. */
  rateLimitUse = 0
  /** Clock milliseconds of the requests that arrived under the limit. */
  private limitedArrivals: number[] = []
  private readonly time: VirtualTime
  private readonly random: Random
  /** Draws the slow moments alone, so that they are the same whatever the nodes decide. */
  private readonly noiseRandom: Random
  private readonly waiting: Array<() => void> = []
  /** Factors of the spans of noise so far. */
  private readonly factors: number[] = []
  private readonly phaseMs: number

  private constructor (id: string, group: TargetGroup, time: VirtualTime, seed: number) {
    this.id = id
    this.group = group
    this.time = time
    this.random = Random.create(seed)
    this.noiseRandom = Random.create(seed + 1)
    this.phaseMs = this.noiseRandom.fraction() * group.noise.everyMs
  }

  static create (id: string, group: TargetGroup, time: VirtualTime, seed: number): SimulatedTarget {
    return new SimulatedTarget(id, group, time, seed)
  }

  /** Number of requests in the target's own queue. */
  get queued (): number {
    return this.waiting.length
  }

  /** Duration of work that starts now, relative to the usual one. */
  get slowness (): number {
    const { share, factor, everyMs } = this.group.noise
    const span = Math.floor((this.time.now() + this.phaseMs) / everyMs)
    while (this.factors.length <= span) this.factors.push(this.noiseRandom.fraction() < share ? factor : 1)
    return this.factors[span] as number
  }

  /** Runs a request; `call` makes its calls and resolves to whether all of them succeeded. */
  async run (workMs: number, deadlineAt: number, shed: number, call: () => Promise<boolean>): Promise<TargetResult> {
    this.countArrival()
    if (this.random.fraction() < shed || this.waiting.length >= this.group.queue) return 'rejected'
    if (this.running >= this.group.slots) await new Promise<void>(resolve => { this.waiting.push(resolve) })
    if (this.time.now() >= deadlineAt) return this.release('rejected')
    this.running++
    const crowded = this.running > this.group.slots * crowding.share ? crowding.factor : 1
    const duration = Math.max(0.2, 1 + workSpread * this.drawNormal()) * workMs * this.slowness * crowded
    await this.sleep(Math.min(duration, deadlineAt - this.time.now()))
    const succeeded = this.time.now() < deadlineAt && await call()
    this.running--
    return this.release(this.time.now() >= deadlineAt ? 'expired' : succeeded ? 'done' : 'call-failed')
  }

  private countArrival (): void {
    if (this.rateLimit === undefined) {
      this.limitedArrivals = []
      return
    }
    const now = this.time.now()
    this.limitedArrivals = [...this.limitedArrivals, now].filter(at => at > now - rateLimitWindowMs)
    this.rateLimitUse = Math.max(this.rateLimitUse, this.limitedArrivals.length * 1_000 / (this.rateLimit * rateLimitWindowMs))
  }

  private release (result: TargetResult): TargetResult {
    this.waiting.shift()?.()
    return result
  }

  private async sleep (milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => { this.time.clock.after(milliseconds, resolve) })
  }

  private drawNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random.fraction())) * Math.cos(2 * Math.PI * this.random.fraction())
  }
}
