import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { PendingInput } from 'auburnturn/core/http'
import type { Metrics } from 'auburnturn/core/metrics'
import type { Random } from 'auburnturn/core/random'
import type { Part } from 'auburnturn/core/supervisor'
import type { BodyLimits } from '../core/bodies/index.js'
import { Forwarder, Ingress, Peers } from '../core/forwarding/index.js'
import { parsePort } from '../core/listening/index.js'
import { OwnTarget, Prober } from '../core/own-target/index.js'
import type { LoadMonitor } from '../core/own-target/index.js'
import { PauseDetector } from '../core/pauses/index.js'
import { Quarantine } from '../core/quarantine/index.js'
import type { CrashRecord } from '../core/quarantine/index.js'
import type { RetryBudget } from '../core/retries/index.js'
import type { Bounds, Settings } from '../core/settings.js'
import { protocol } from '../platform/index.js'
import type { LocalState } from './local-state.js'

/** The way of a request through this node: from a caller to the target on this VM, or to the node of another target. */
export class RequestPath {
  readonly quarantine: Quarantine
  readonly target: OwnTarget
  readonly peers: Peers
  readonly ingress: Ingress
  private readonly options: RequestPathOptions
  private prober: Prober | undefined

  private constructor (options: RequestPathOptions) {
    const { clock, logger, metrics, settings: { ip }, onCrash } = options
    this.options = options
    this.quarantine = Quarantine.create({ clock, logger, metrics, ip, onChange: onCrash })
    this.target = this.createTarget()
    this.peers = this.createPeers()
    this.ingress = this.createIngress(this.createForwarder())
  }

  static create (options: RequestPathOptions): RequestPath {
    return new RequestPath(options)
  }

  /** Whether this node could choose a target of a service now. */
  hasUsableTarget (service: string): boolean {
    const own = this.target.describe()
    if (own.service === service && own.state === 'up') return true
    return this.options.state.directory.findCandidates(service).some(({ state, reportAgeMs }) => state === 'up' && reportAgeMs < Infinity)
  }

  /** Starts the health checks of the target on this VM; replaces the previous prober after a failure. */
  startProber (onFailure: (error: unknown) => void): Part {
    const { clock, random, bodyLimits, bounds, state: { configuration }, settings: { upstream, service } } = this.options
    const prober = Prober.create({
      address: upstream,
      clock,
      random,
      bodyLimits,
      protocol,
      target: this.target,
      healthPath: () => configuration.findService(service)?.healthPath,
      probesPerSecond: () => bounds().probesPerSecond,
      onFailure
    })
    this.prober = prober
    return { close: async () => { prober.close() } }
  }

  /** Starts to watch for pauses of the process, after which the waiting requests are refused: it is not known how long they have waited. */
  startPauseDetector (): Part {
    const { clock, logger, metrics } = this.options
    return PauseDetector.create({
      clock,
      wallClock: Date.now,
      onCheck: lateMs => { metrics.recordDuration('event_loop_delay_seconds', lateMs) },
      onPause: pausedMs => {
        logger.warn('paused', { pausedMs: Math.round(pausedMs) })
        this.target.slots.refuseQueued('expired')
      }
    })
  }

  /** Closes the connections to other nodes and to the target on this VM. */
  close (): void {
    this.peers.close()
    this.target.disconnect()
  }

  private createTarget (): OwnTarget {
    const { clock, logger, metrics, bodyLimits, pendingInput, state: { directory }, settings: { upstream, service, failureDomain }, onTargetChange } = this.options
    return OwnTarget.create({
      address: upstream,
      service,
      failureDomain,
      clock,
      bodyLimits,
      pendingInput,
      logger,
      metrics,
      protocol,
      directory,
      loadMonitor: this.createLoadMonitor(),
      quarantine: this.quarantine,
      onChange: onTargetChange
    })
  }

  /** Delegates to the current prober, which starts later than the target and is replaced when the supervisor restarts it. */
  private createLoadMonitor (): LoadMonitor {
    return {
      refresh: async () => { await this.prober?.refresh() },
      useShortInterval: () => { this.prober?.useShortInterval() }
    }
  }

  private createPeers (): Peers {
    const { clock, random, bodyLimits, settings: { internalPorts, listen } } = this.options
    return Peers.create({ callPort: internalPorts[0], statePort: parsePort(listen.nodes), clock, random, bodyLimits })
  }

  private createForwarder (): Forwarder {
    const { clock, random, logger, metrics, pendingInput, state, settings: { ip, failureDomain } } = this.options
    return Forwarder.create({
      clock,
      random,
      logger,
      metrics,
      directory: state.directory,
      ownTarget: this.target,
      peers: this.peers,
      pendingInput,
      ip,
      failureDomain,
      onShortage: service => { state.widenSelection(service) },
      retryBudget: () => this.getRetryBudget()
    })
  }

  private createIngress (forwarder: Forwarder): Ingress {
    const { clock, logger, metrics, bodyLimits, pendingInput, state: { configuration }, settings: { service }, isLeaving, admits } = this.options
    return Ingress.create({ clock, logger, metrics, protocol, configuration, forwarder, bodyLimits, pendingInput, service, isLeaving, admits })
  }

  private getRetryBudget (): RetryBudget {
    const { bounds, state: { directory } } = this.options
    const { retryRatio: ratio, retryAllowance: allowance } = bounds()
    return { ratio, allowance, nodes: directory.locations.vmCount }
  }
}

interface RequestPathOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
  /** Limits the bodies that are being received. */
  readonly bodyLimits: BodyLimits
  readonly pendingInput: PendingInput
  readonly state: LocalState
  /** Returns the present limits of the deployment, which may differ from those in `settings`. */
  readonly bounds: () => Bounds
  /** Whether the node is leaving: callers are then asked to close their connections. */
  readonly isLeaving: () => boolean
  /** Whether a request is taken whose caller waits until `deadlineAt`, in clock milliseconds. */
  readonly admits: (deadlineAt: number) => boolean
  /** Called with each change of the known crashes that other nodes of the service have to learn from this one. */
  readonly onCrash: (record: CrashRecord) => void
  /** Called when a change of the target may have to be reported to the other nodes. */
  readonly onTargetChange: () => void
}
