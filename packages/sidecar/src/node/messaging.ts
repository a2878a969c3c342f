import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Random } from 'auburnturn/core/random'
import { CrashSync } from '../core/quarantine/index.js'
import type { Quarantine } from '../core/quarantine/index.js'
import { Announcer } from '../core/readers/index.js'
import type { ReaderElection } from '../core/readers/index.js'
import { DatagramTransport, Reporter, Subscriber } from '../core/reports/index.js'
import type { Message, SubscriberList } from '../core/reports/index.js'
import type { TargetReport } from '../core/targets/index.js'
import type { LocalState } from './local-state.js'

/** The datagrams between this node and others: reports of targets, subscriptions to them, notices of readers, and crashes. */
export class Messaging {
  readonly reporter: Reporter
  readonly subscriber: Subscriber
  readonly announcer: Announcer
  readonly crashSync: CrashSync
  private readonly transport: DatagramTransport

  private constructor (transport: DatagramTransport, options: MessagingOptions) {
    const { clock, random, failureDomain, election, state, subscribers, quarantine, describeTarget } = options
    const { configuration, directory } = state
    const otherAddresses = (): string[] => state.listOtherAddresses()
    const send = (bytes: Buffer, ip: string): void => { transport.send(bytes, ip) }
    this.transport = transport
    this.reporter = Reporter.create({
      clock,
      describe: () => ({ kind: 'full', target: describeTarget(), configurationVersion: configuration.version }),
      subscribers: () => state.groupByDomain(subscribers.list()),
      otherAddresses,
      send
    })
    this.subscriber = Subscriber.create({
      clock,
      refreshSources: () => { state.refreshSelection() },
      sources: () => state.selection.addresses,
      getReportAgeMs: ip => directory.getReportAgeMs(ip),
      send
    })
    this.announcer = Announcer.create({
      clock,
      election,
      failureDomain,
      configurationVersion: () => configuration.version,
      otherAddresses,
      send,
      onReading: () => { directory.recordListResponse() }
    })
    this.crashSync = CrashSync.create({ clock, random, quarantine, peers: () => state.listOtherAddresses(options.service), send })
  }

  /** Resolves when the socket is bound. */
  static async create (options: MessagingOptions): Promise<Messaging> {
    const { ip, port, clock, random, logger, onMessage } = options
    const transport = await DatagramTransport.create({ ip, port, clock, random, logger, onMessage })
    return new Messaging(transport, options)
  }

  async close (): Promise<void> {
    this.reporter.close()
    this.announcer.close()
    this.subscriber.close()
    this.crashSync.close()
    this.transport.close()
  }
}

interface MessagingOptions {
  /** Address and port on which the datagrams of other nodes arrive; all nodes use the same port. */
  readonly ip: string
  readonly port: number
  readonly failureDomain: string
  /** Service of the target on this VM. */
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly election: ReaderElection
  readonly state: LocalState
  readonly quarantine: Quarantine
  /** The nodes that are subscribed to the reports of this node. */
  readonly subscribers: SubscriberList
  /** Returns the state of the target on this VM. */
  readonly describeTarget: () => TargetReport
  /** Called with each message and the address of its sender. */
  readonly onMessage: (ip: string, message: Message) => void
}
