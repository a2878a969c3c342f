import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyMemory } from '../exchange/index.js'
import type { Protocol } from '../forwarding/types.js'
import { idleProbeIntervalMs, connectTimeoutMs, minProbeIntervalMs, unansweredProbesUntilDown, probeTimeoutMs, refreshTimeoutMs, slowTargetProbeIntervalMs, usableProbeShare } from './constants.js'
import type { OwnTarget } from './own-target.js'

/** Checks the health of the own target as often as its load is worth to know. */
export class Prober {
  private readonly options: ProberOptions
  private readonly connections: ConnectionPool
  private unansweredProbes = 0
  private lastProbeAt = -Infinity
  private probeInFlight: Promise<void> | undefined
  private pause = Cancellation.create()
  private usesLongInterval = false
  private closed = false

  private constructor (options: ProberOptions) {
    this.options = options
    this.connections = ConnectionPool.create({ address: options.address, limit: 1, clock: options.clock, memory: options.memory })
  }

  /** Probes until it is closed. */
  static create (options: ProberOptions): Prober {
    const prober = new Prober(options)
    prober.run().catch(options.onFailure)
    return prober
  }

  /** Asks the target for its load now; resolves when it has answered, or when that is not worth waiting for. */
  async refresh (): Promise<void> {
    if (this.closed || this.unansweredProbes > 0 || this.options.clock.now() - this.lastProbeAt < this.minIntervalMs()) return
    const answered = this.probeOnce()
    await new Promise<void>(resolve => {
      const timer = this.options.clock.wheel.after(refreshTimeoutMs, resolve)
      answered.finally(() => {
        timer.cancel()
        resolve()
      }).catch(this.options.onFailure)
    })
  }

  /** Checks at the shorter interval from now on, where the state of the target asks for it. */
  useShortInterval (): void {
    if (this.usesLongInterval) this.pause.abort()
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
      if (target.loadAgeMs >= this.intervalMs() || target.id === '') await this.probeOnce()
      const restMs = this.intervalMs()
      this.usesLongInterval = restMs > this.minIntervalMs()
      this.pause = Cancellation.create()
      await clock.sleep(restMs, this.pause)
    }
  }

  /** Time between two checks as things stand, in milliseconds. */
  private intervalMs (): number {
    const { target } = this.options
    const shortestMs = this.minIntervalMs()
    if (this.unansweredProbes > 0 || target.id === '' || target.unreachable || target.slots.waiting > 0) return shortestMs
    return Math.max(shortestMs, target.slots.slow ? slowTargetProbeIntervalMs : idleProbeIntervalMs)
  }

  private minIntervalMs (): number {
    return Math.max(minProbeIntervalMs, 1_000 / (this.options.probesPerSecond() * usableProbeShare))
  }

  /** One check at a time: who asks meanwhile gets the same answer. */
  private async probeOnce (): Promise<void> {
    const path = this.options.healthPath()
    if (path === undefined) return
    this.probeInFlight ??= this.probe(path).finally(() => { this.probeInFlight = undefined })
    await this.probeInFlight
  }

  private async probe (path: string): Promise<void> {
    const { clock, target, protocol, address } = this.options
    this.lastProbeAt = clock.now()
    const reply = await exchange({
      connections: this.connections, clock, method: 'GET', path, headers: ['host', address], body: Buffer.alloc(0), connectMs: connectTimeoutMs, timeoutMs: probeTimeoutMs
    })
    if (reply.kind === 'answer') {
      this.unansweredProbes = 0
      target.recordHealthCheck(reply.status === 200, protocol.readAnswer(reply.status, reply.headers))
      return
    }
    this.unansweredProbes++
    const refused = reply.kind === 'unsent' && reply.cause === 'connect-failed'
    if (refused || this.unansweredProbes >= unansweredProbesUntilDown) target.markDown()
    else this.useShortInterval()
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
