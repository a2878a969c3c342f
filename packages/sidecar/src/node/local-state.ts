import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { CurrentConfiguration } from '../core/configuration/index.js'
import { applyChanges, UnusableEntries } from '../core/following/index.js'
import type { SharedState } from '../core/following/index.js'
import type { Subscribers } from '../core/reports/index.js'
import type { Change, StorePosition } from '../core/store/index.js'
import { Directory, PeerSelection } from '../core/targets/index.js'
import type { TargetReport } from '../core/targets/index.js'

/**
 * What this node knows: the active configuration, the targets, and which nodes it sends requests to. Changes come from the
 * store, from the state of other nodes, and from their reports.
 */
export class LocalState {
  readonly configuration: CurrentConfiguration
  readonly directory: Directory
  readonly selection: PeerSelection
  private readonly options: LocalStateOptions
  private readonly unusableEntries = UnusableEntries.create()
  /** Whether the full list of targets was received, from the store or from another node. */
  private hasTargetList = false

  private constructor (options: LocalStateOptions) {
    const { clock, random, ip, failureDomain } = options
    this.options = options
    this.configuration = CurrentConfiguration.create({ random })
    this.selection = PeerSelection.create({ clock, ip, failureDomain })
    this.directory = Directory.create({ clock, selectAddresses: service => this.selection.getServiceAddresses(service) })
  }

  static create (options: LocalStateOptions): LocalState {
    return new LocalState(options)
  }

  /** Whether a configuration is active and the full list of targets was received. */
  get isComplete (): boolean {
    return this.configuration.isLoaded && this.hasTargetList
  }

  /** Returns the state that this node provides to others, known up to `position`; undefined before it has a configuration. */
  readShared (position: StorePosition | undefined): SharedState | undefined {
    const { active } = this.configuration
    return active === undefined ? undefined : { configuration: active, targets: this.directory.listedTargets, position }
  }

  /**
   * Applies changes of the store; with `fullList` they are its complete content, and with `restored` the first content of an era that
   * began with an earlier copy.
   */
  applyStoreChanges (changes: readonly Change[], fullList: boolean, restored = false): void {
    this.directory.recordListResponse()
    if (restored) this.directory.expectEarlierEntries()
    this.applyChanges(changes, fullList)
    this.hasTargetList ||= fullList
    this.finishChange()
  }

  /** Applies the state of another node: its configuration, and its list of targets if this node has none yet. */
  applyShared ({ configuration, targets }: SharedState): void {
    const changes: Change[] = [{ kind: 'configuration', configuration }]
    if (!this.hasTargetList) for (const target of targets) changes.push({ kind: 'target', target })
    this.applyChanges(changes, false)
    this.hasTargetList = true
    this.finishChange()
  }

  /** Records the report of the node at `ip`. A target that was not known at that address may have to be selected. */
  recordReport (ip: string, report: TargetReport): void {
    const wasKnown = this.directory.hasTargetAt(ip, report.service)
    this.directory.recordReport(ip, report)
    if (!wasKnown) this.selectPeers()
  }

  /** Selects more nodes for a service whose selected targets do not suffice, unless it was done a short time ago. */
  widenSelection (service: string): void {
    if (this.selection.widen(service)) this.selectPeers()
  }

  /** Updates the selection of the nodes to receive reports from. */
  refreshSelection (): void {
    this.selection.refresh(this.directory.locations)
  }

  /** Returns the addresses of all other nodes, or of those with targets of a service. */
  listOtherAddresses (service?: string): string[] {
    const { locations } = this.directory
    const addresses = service === undefined ? [...locations.addresses] : locations.getServiceLocations(service).map(({ ip }) => ip)
    return addresses.filter(ip => ip !== this.options.ip)
  }

  /** Whether the node at `ip` is in the failure domain of this node. */
  isSameDomain (ip: string): boolean {
    return this.directory.locations.getDomain(ip) === this.options.failureDomain
  }

  /** Groups addresses by whether they are in the failure domain of this node. */
  groupByDomain (ips: readonly string[]): Subscribers {
    return { sameDomain: ips.filter(ip => this.isSameDomain(ip)), crossDomain: ips.filter(ip => !this.isSameDomain(ip)) }
  }

  private applyChanges (changes: readonly Change[], fullList: boolean): void {
    const { directory, configuration, unusableEntries, options: { logger } } = this
    applyChanges(changes, fullList, { directory, configuration, unusableEntries, logger })
  }

  private finishChange (): void {
    this.selectPeers()
    this.options.onChange()
  }

  private selectPeers (): void {
    this.refreshSelection()
    this.options.onSelection()
  }
}

interface LocalStateOptions {
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** Address and failure domain of this VM. */
  readonly ip: string
  readonly failureDomain: string
  /** Called when a change may have to be reported to the other nodes. */
  readonly onChange: () => void
  /** Called after nodes may have been added to the selection, to subscribe to their reports. */
  readonly onSelection: () => void
}
