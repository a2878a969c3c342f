import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Random } from 'auburnturn/core/random'
import { CheckIds, isHealthAnswer } from '../attribution/index.js'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { Exchange } from '../exchange/index.js'
import type { Protocol } from '../requests/index.js'
import { connectTimeoutMs, idleProbeIntervalMs, minProbeIntervalMs, probeTimeoutMs, refreshTimeoutMs, slowTargetProbeIntervalMs, unansweredProbesUntilDown, usableProbeShare } from './constants.js'
import type { OwnTarget } from './own-target.js'

/** Sends health checks to the target on this VM, at an interval that depends on its state and on queued requests. */
export class Prober {
  private readonly options: ProberOptions
  private readonly connections: ConnectionPool
  private readonly checkIds: CheckIds
  private unansweredProbes = 0
  private lastProbeAt = -Infinity
  private probeInFlight: Promise<void> | undefined
  private sleepCancellation = Cancellation.create()
  private usesLongInterval = false
  private closed = false

  private constructor (options: ProberOptions) {
    this.options = options
    this.checkIds = CheckIds.create(options)
    this.connections = ConnectionPool.create({ address: options.address, limit: 1, clock: options.clock, bodyLimits: options.bodyLimits })
  }

  /** Probes until it is closed. */
  static create (options: ProberOptions): Prober {
    const prober = new Prober(options)
    prober.run().catch(options.onFailure)
    return prober
  }

  /**
   * Requests the target's load now, unless that would exceed the allowed rate or the last check was not answered. Resolves when
   * the target has answered, or after a short timeout.
   */
  async refresh (): Promise<void> {
    if (this.closed || this.unansweredProbes > 0 || this.options.clock.now() - this.lastProbeAt < this.computeMinIntervalMs()) return
    const probe = this.probeOnce()
    await new Promise<void>(resolve => {
      const timer = this.options.clock.timerWheel.after(refreshTimeoutMs, resolve)
      probe.finally(() => {
        timer.cancel()
        resolve()
      }).catch(this.options.onFailure)
    })
  }

  /** Ends a long interval early, so that the next one is short if the state of the target requires it. */
  useShortInterval (): void {
    if (this.usesLongInterval) this.sleepCancellation.abort()
  }

  close (): void {
    this.closed = true
    this.sleepCancellation.abort()
    this.connections.close()
  }

  private async run (): Promise<void> {
    const { clock, target } = this.options
    while (!this.closed) {
      // Answers to requests report the load too, so a check is needed only when the last report is old.
      if (target.loadAgeMs >= this.computeIntervalMs() || target.id === '') await this.probeOnce()
      const sleepMs = this.computeIntervalMs()
      this.usesLongInterval = sleepMs > this.computeMinIntervalMs()
      this.sleepCancellation = Cancellation.create()
      await clock.sleep(sleepMs, this.sleepCancellation)
    }
  }

  /** Time between two checks in the present state of the target, in milliseconds. */
  private computeIntervalMs (): number {
    const { target } = this.options
    const minIntervalMs = this.computeMinIntervalMs()
    if (this.unansweredProbes > 0 || target.id === '' || target.unreachable || target.slots.waitsForTarget) return minIntervalMs
    return Math.max(minIntervalMs, target.slots.slow ? slowTargetProbeIntervalMs : idleProbeIntervalMs)
  }

  /** Shortest time between two checks that the allowed rate permits, in milliseconds. */
  private computeMinIntervalMs (): number {
    return Math.max(minProbeIntervalMs, 1_000 / (this.options.probesPerSecond() * usableProbeShare))
  }

  /** Runs a check, or waits for the one in flight. */
  private async probeOnce (): Promise<void> {
    const path = this.options.healthPath()
    if (path === undefined) return
    this.probeInFlight ??= this.probe(path).finally(() => { this.probeInFlight = undefined })
    await this.probeInFlight
  }

  private async probe (path: string): Promise<void> {
    const { clock, target, protocol, address } = this.options
    const id = this.checkIds.next()
    this.lastProbeAt = clock.now()
    const result = await (this.options.exchange ?? exchange)({
      connections: this.connections,
      clock,
      method: 'GET',
      path,
      headers: ['host', address, ...protocol.writeHealthCheck(id)],
      body: Buffer.alloc(0),
      connectMs: connectTimeoutMs,
      timeoutMs: probeTimeoutMs,
      belongs: ({ status, headers }) => isHealthAnswer(id, status, protocol.readAnswer(status, headers))
    })
    // The answer to another check or to a request shows neither the state of the target nor that it does not answer.
    if (result.kind === 'lost' && result.cause === 'foreign') return
    if (result.kind === 'answer') {
      this.unansweredProbes = 0
      target.recordHealthCheck(result.status === 200, protocol.readAnswer(result.status, result.headers))
      return
    }
    this.unansweredProbes++
    const connectFailed = result.kind === 'unsent' && result.cause === 'connect-failed'
    if (connectFailed) target.recordRefusedConnection()
    else if (this.unansweredProbes >= unansweredProbesUntilDown) target.markUnreachable()
    else this.useShortInterval()
  }
}

interface ProberOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly clock: Clock
  /** Chooses the ids of the checks. */
  readonly random: Random
  readonly bodyLimits: BodyLimits
  readonly protocol: Protocol
  readonly target: OwnTarget
  /** Sends a health check; over HTTP by default. */
  readonly exchange?: Exchange
  /** Path of the health check; undefined until a configuration is available. */
  readonly healthPath: () => string | undefined
  /** Maximum number of health checks per second that the deployment allows. */
  readonly probesPerSecond: () => number
  /** Called with unexpected errors of the checks. */
  readonly onFailure: (error: unknown) => void
}
