import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Change, StorePosition } from '../store/index.js'
import { encodeChangesNotice, encodeReaderNotice } from './codec.js'
import { noticeIntervalMs } from './constants.js'
import type { ReaderElection } from './reader-election.js'
import type { ReaderState } from './types.js'

/** While this node is a reader, sends its state and the changes that it read to all other nodes. */
export class Announcer {
  private readonly options: AnnouncerOptions
  private readonly cancel: Cancel
  /** Position up to which this node has announced all changes, or at which it has listed the store. */
  private announced: StorePosition = { era: 0, revision: 0 }

  private constructor (options: AnnouncerOptions) {
    this.options = options
    this.cancel = options.clock.every(noticeIntervalMs, () => {
      if (options.election.isReader) this.announce(options.election.state)
    })
  }

  static create (options: AnnouncerOptions): Announcer {
    return new Announcer(options)
  }

  /** Sends a notice with a reader state to all other nodes. */
  announce (state: ReaderState): void {
    const { failureDomain, configurationVersion, otherAddresses, send, onReading } = this.options
    if (state === 'reading') onReading()
    const bytes = encodeReaderNotice({ kind: 'reader', state, failureDomain, ...this.announced, configurationVersion: configurationVersion() })
    for (const ip of otherAddresses()) send(bytes, ip)
  }

  /** Sends changes. If they don't fit in a datagram, a notice with the new position makes the other nodes request them. */
  announceChanges (from: number, to: StorePosition, changes: readonly Change[]): void {
    const { election, otherAddresses, send } = this.options
    this.announced = to
    const listChanges = changes.filter(({ kind }) => kind !== 'configuration')
    const bytes = encodeChangesNotice({ kind: 'changes', era: to.era, from, to: to.revision, changes: listChanges })
    if (bytes !== undefined) for (const ip of otherAddresses()) send(bytes, ip)
    // The configuration is too large for a datagram: a notice with its version makes the other nodes fetch it.
    if (bytes === undefined || listChanges.length < changes.length) this.announce(election.state)
  }

  /** Records that this node read the full list at a position. */
  recordList (position: StorePosition): void {
    this.announced = position
  }

  close (): void {
    this.cancel()
  }
}

interface AnnouncerOptions {
  readonly clock: Clock
  readonly election: ReaderElection
  readonly failureDomain: string
  /** Version of the active configuration, 0 before the first. */
  readonly configurationVersion: () => number
  /** Addresses of all other nodes. */
  readonly otherAddresses: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
  /** Called with each notice that is sent while the store answers. */
  readonly onReading: () => void
}
