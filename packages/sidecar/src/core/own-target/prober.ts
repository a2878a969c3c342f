import type { Clock } from 'auburnturn/core/clock'
import { Connections, exchange } from '../exchange/index.js'
import type { Protocol } from '../forwarding/types.js'
import { connectMs, probeMs, probesUntilDown, probeTimeoutMs, usableProbes } from './constants.js'
import type { OwnTarget } from './own-target.js'

/** Checks the health of the own target as often as its load is worth to know. */
export class Prober {
  private readonly options: ProberOptions
  private readonly connections: Connections
  private unanswered = 0
  private closed = false

  private constructor (options: ProberOptions) {
    this.options = options
    this.connections = Connections.create({ address: options.address, limit: 1, clock: options.clock })
  }

  /** Probes until it is closed. */
  static create (options: ProberOptions): Prober {
    const prober = new Prober(options)
    prober.run().catch(options.onFailure)
    return prober
  }

  close (): void {
    this.closed = true
    this.connections.close()
  }

  private async run (): Promise<void> {
    const { clock, target, healthPath, probesPerSecond } = this.options
    while (!this.closed) {
      const path = healthPath()
      // Answers tell the load as well as a check does.
      const intervalMs = Math.max(probeMs, 1_000 / (probesPerSecond() * usableProbes))
      if (path !== undefined && (target.loadAgeMs >= intervalMs || target.id === '')) await this.probe(path)
      await clock.sleep(intervalMs)
    }
  }

  private async probe (path: string): Promise<void> {
    const { clock, target, protocol, address } = this.options
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
  }
}

interface ProberOptions {
  readonly address: string
  readonly clock: Clock
  readonly protocol: Protocol
  readonly target: OwnTarget
  /** Undefined before a configuration is known. */
  readonly healthPath: () => string | undefined
  /** Most health checks a second that the deployment allows. */
  readonly probesPerSecond: () => number
  readonly onFailure: (error: unknown) => void
}
