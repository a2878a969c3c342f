import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Change } from '../following/types.js'
import { encodeChangesNotice, encodeReaderNotice } from './codec.js'
import { noticeIntervalMs } from './constants.js'
import type { ReaderElection } from './reader-election.js'
import type { ReaderState } from './types.js'

/** Tells all other nodes what this one reads, while it does. */
export class Announcer {
  private readonly options: AnnouncerOptions
  private readonly cancel: Cancel
  /** Revision up to which the others were told, or may read it themselves. */
  private announcedRevision = 0

  private constructor (options: AnnouncerOptions) {
    this.options = options
    this.cancel = options.clock.every(noticeIntervalMs, () => {
      if (options.election.isReader) this.announce(options.election.state)
    })
  }

  static create (options: AnnouncerOptions): Announcer {
    return new Announcer(options)
  }

  /** Tells how the reading goes. */
  announce (state: ReaderState): void {
    const { failureDomain, configurationVersion, otherAddresses: others, send, onReading } = this.options
    if (state === 'reading') onReading()
    const bytes = encodeReaderNotice({ kind: 'reader', state, failureDomain, revision: this.announcedRevision, configurationVersion: configurationVersion() })
    for (const ip of others()) send(bytes, ip)
  }

  /** Tells what has changed; where it does not fit, the notice of the new revision makes the others ask. */
  announceChanges (from: number, to: number, changes: readonly Change[]): void {
    const { election: duty, otherAddresses: others, send } = this.options
    this.announcedRevision = to
    const listed = changes.filter(({ kind }) => kind !== 'configuration')
    const bytes = encodeChangesNotice({ kind: 'changes', from, to, changes: listed })
    if (bytes !== undefined) for (const ip of others()) send(bytes, ip)
    // The configuration is too long for a datagram: its version tells them to read it.
    if (bytes === undefined || listed.length < changes.length) this.announce(duty.state)
  }

  /** Notes that the whole list was read at a revision. */
  recordListRevision (revision: number): void {
    this.announcedRevision = revision
  }

  close (): void {
    this.cancel()
  }
}

interface AnnouncerOptions {
  readonly clock: Clock
  readonly election: ReaderElection
  readonly failureDomain: string
  readonly configurationVersion: () => number
  /** Addresses of all other nodes. */
  readonly otherAddresses: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
  /** Called at each notice while the store answers. */
  readonly onReading: () => void
}
