import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { Random } from 'auburnturn/core/random'
import { encodeCrashDigest, encodeCrashNotice } from './codec.js'
import { digestIntervalMs, initialSyncMs, repeatDelaysMs } from './constants.js'
import type { Quarantine } from './quarantine.js'
import type { CrashDigest, CrashNotice, CrashRecord } from './types.js'

/**
 * Spreads the known crashes among the nodes of one service, since only they run its requests: each new one at once to all of them, and
 * later by comparing checksums with one node at a time. While no crash is known, a node sends nothing.
 */
export class CrashSync {
  private readonly options: CrashSyncOptions
  private readonly startedAt: number
  private readonly cancel: Cancel
  private closed = false

  private constructor (options: CrashSyncOptions) {
    const { clock } = options
    this.options = options
    this.startedAt = clock.now()
    this.cancel = clock.every(digestIntervalMs, () => { this.sendDigest() })
  }

  static create (options: CrashSyncOptions): CrashSync {
    return new CrashSync(options)
  }

  /** Sends a crash to all nodes of the service: now, before the outcome of the request can make another node send it on, and again later. */
  announce (record: CrashRecord): void {
    this.sendToAll(record)
    for (const delayMs of repeatDelaysMs) this.options.clock.timerWheel.after(delayMs, () => { this.sendToAll(record) })
  }

  /** Handles a crash that another node knows. */
  receiveNotice ({ target, number, node, ageMs, suspects }: CrashNotice): void {
    this.options.quarantine.receive({ target, number, node, at: this.options.clock.now() - ageMs, suspects })
  }

  /** Handles the checksum of another node. */
  receiveDigest (ip: string, { checksum, isAnswer }: CrashDigest): void {
    const { quarantine, send } = this.options
    const own = quarantine.checksum
    if (checksum === own) return
    for (const record of quarantine.crashes) this.sendRecord(record, ip)
    if (!isAnswer) send(encodeCrashDigest({ kind: 'crash-digest', checksum: own, isAnswer: true }), ip)
  }

  close (): void {
    this.closed = true
    this.cancel()
  }

  private sendDigest (): void {
    const { clock, random, quarantine, peers, send } = this.options
    if (!quarantine.hasRecords && clock.now() - this.startedAt > initialSyncMs) return
    const ips = peers()
    const ip = ips[random.integerBelow(Math.max(1, ips.length))]
    if (ip !== undefined) send(encodeCrashDigest({ kind: 'crash-digest', checksum: quarantine.checksum, isAnswer: false }), ip)
  }

  private sendToAll (record: CrashRecord): void {
    if (this.closed) return
    for (const ip of this.options.peers()) this.sendRecord(record, ip)
  }

  private sendRecord ({ target, number, node, at, suspects }: CrashRecord, ip: string): void {
    this.options.send(encodeCrashNotice({ kind: 'crash', target, number, node, ageMs: this.options.clock.now() - at, suspects }), ip)
  }
}

interface CrashSyncOptions {
  readonly clock: Clock
  readonly random: Random
  readonly quarantine: Quarantine
  /** Returns the addresses of the other nodes of the service. */
  readonly peers: () => readonly string[]
  readonly send: (bytes: Buffer, ip: string) => void
}
