import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import { Connections, exchange } from '../exchange/index.js'
import type { BodyMemory } from '../exchange/index.js'
import type { Protocol } from '../forwarding/types.js'
import { calmProbeMs, connectMs, probeMs, probesUntilDown, probeTimeoutMs, refreshMs, slowProbeMs, usableProbes } from './constants.js'
import type { OwnTarget } from './own-target.js'

/** Checks the health of the own target as often as its load is worth to know. */
export class Prober {
  private readonly options: ProberOptions
  private readonly connections: Connections
  private unanswered = 0
  private checkedAt = -Infinity
  private checking: Promise<void> | undefined
  private pause = Cancellation.create()
  private restsLong = false
  private closed = false

  private constructor (options: ProberOptions) {
    this.options = options
    this.connections = Connections.create({ address: options.address, limit: 1, clock: options.clock, memory: options.memory })
  }

  /** Probes until it is closed. */
  static create (options: ProberOptions): Prober {
    const prober = new Prober(options)
    prober.run().catch(options.onFailure)
    return prober
  }

  /** Asks the target for its load now; resolves when it has answered, or when that is not worth waiting for. */
  async refresh (): Promise<void> {
    if (this.closed || this.unanswered > 0 || this.options.clock.now() - this.checkedAt < this.shortestMs()) return
    const answered = this.check()
    await new Promise<void>(resolve => {
      const timer = this.options.clock.timerWheel.after(refreshMs, resolve)
      answered.finally(() => {
        timer.cancel()
        resolve()
      }).catch(this.options.onFailure)
    })
  }

  /** Checks at the shorter interval from now on, where the state of the target asks for it. */
  hurry (): void {
    if (this.restsLong) this.pause.abort()
  }

  close (): void {
    this.closed = true
    this.pause.abort()
    this.connections.close()
  }

  private async run (): Promise<void> {
    const { clock, target } = this.options
    while (!this.closed) {
      // Answers tell the load as well as a check does.
      if (target.loadAgeMs >= this.intervalMs() || target.id === '') await this.check()
      const restMs = this.intervalMs()
      this.restsLong = restMs > this.shortestMs()
      this.pause = Cancellation.create()
      await clock.sleep(restMs, this.pause)
    }
  }

  /** Time between two checks as things stand, in milliseconds. */
  private intervalMs (): number {
    const { target } = this.options
    const shortestMs = this.shortestMs()
    if (this.unanswered > 0 || target.id === '' || target.unreachable || target.slots.waiting > 0) return shortestMs
    return Math.max(shortestMs, target.slots.slow ? slowProbeMs : calmProbeMs)
  }

  private shortestMs (): number {
    return Math.max(probeMs, 1_000 / (this.options.probesPerSecond() * usableProbes))
  }

  /** One check at a time: who asks meanwhile gets the same answer. */
  private async check (): Promise<void> {
    const path = this.options.healthPath()
    if (path === undefined) return
    this.checking ??= this.probe(path).finally(() => { this.checking = undefined })
    await this.checking
  }

  private async probe (path: string): Promise<void> {
    const { clock, target, protocol, address } = this.options
    this.checkedAt = clock.now()
    const reply = await exchange({
      connections: this.connections, clock, method: 'GET', path, headers: ['host', address], body: Buffer.alloc(0), connectMs, timeoutMs: probeTimeoutMs
    })
    if (reply.kind === 'answer') {
      this.unanswered = 0
      target.markChecked(reply.status === 200, protocol.readAnswer(reply.status, reply.headers))
      return
    }
    this.unanswered++
    const refused = reply.kind === 'unsent' && reply.cause === 'connect-failed'
    if (refused || this.unanswered >= probesUntilDown) target.markDown()
    else this.hurry()
  }
}

interface ProberOptions {
  readonly address: string
  readonly clock: Clock
  readonly memory: BodyMemory
  readonly protocol: Protocol
  readonly target: OwnTarget
  /** Undefined before a configuration is known. */
  readonly healthPath: () => string | undefined
  /** Most health checks a second that the deployment allows. */
  readonly probesPerSecond: () => number
  readonly onFailure: (error: unknown) => void
}
