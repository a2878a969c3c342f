import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Change } from '../following/types.js'
import { encodeChanges, encodeReader } from './codec.js'
import { noticeMs } from './constants.js'
import type { ReadingDuty } from './reading-duty.js'
import type { ReaderState } from './types.js'

/** Tells all other nodes what this one reads, while it does. */
export class Announcer {
  private readonly options: AnnouncerOptions
  private readonly cancel: Cancel
  /** Revision up to which the others were told, or may read it themselves. */
  private revision = 0

  private constructor (options: AnnouncerOptions) {
    this.options = options
    this.cancel = options.clock.every(noticeMs, () => {
      if (options.duty.onDuty) this.announce(options.duty.state)
    })
  }

  static create (options: AnnouncerOptions): Announcer {
    return new Announcer(options)
  }

  /** Tells how the reading goes. */
  announce (state: ReaderState): void {
    const { failureDomain, configurationVersion, others, send, onReading } = this.options
    if (state === 'reading') onReading()
    const bytes = encodeReader({ kind: 'reader', state, failureDomain, revision: this.revision, configurationVersion: configurationVersion() })
    for (const ip of others()) send(bytes, ip)
  }

  /** Tells what has changed; where it does not fit, the notice of the new revision makes the others ask. */
  share (from: number, to: number, changes: readonly Change[]): void {
    const { duty, others, send } = this.options
    this.revision = to
    const listed = changes.filter(({ kind }) => kind !== 'configuration')
    const bytes = encodeChanges({ kind: 'changes', from, to, changes: listed })
    if (bytes !== undefined) for (const ip of others()) send(bytes, ip)
    // The configuration is too long for a datagram: its version tells them to read it.
    if (bytes === undefined || listed.length < changes.length) this.announce(duty.state)
  }

  /** Notes that the whole list was read at a revision. */
  markListed (revision: number): void {
    this.revision = revision
  }

  close (): void {
    this.cancel()
  }
}

interface AnnouncerOptions {
  readonly clock: Clock
  readonly duty: ReadingDuty
  readonly failureDomain: string
  readonly configurationVersion: () => number
  /** Addresses of all other nodes. */
  readonly others: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
  /** Called at each notice while the store answers. */
  readonly onReading: () => void
}
