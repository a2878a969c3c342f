import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Notice, Notices } from '../notices/index.js'
import { maxCleared } from './constants.js'

/** Notices tell fingerprints by these words: in flight with others at a crash, or alone at the n-th. */
const shared = 'shared'

/** What is known of suspect requests, here and from other nodes, in a bounded, expiring list of notices. */
export class SuspectList {
  private readonly notices: Notices
  /** Suspects that ran to their end since. */
  private readonly cleared = new Set<string>()

  /** Clock milliseconds at which the last suspect expires. */
  private suspectUntil = -Infinity
  private readonly clock: Clock
  readonly close: Cancel

  private constructor (clock: Clock, notices: Notices) {
    this.clock = clock
    this.notices = notices
    for (const notice of notices.list()) this.take(notice)
    this.close = subscribe(clock, notices.changes, notice => { this.take(notice) }, () => {})
  }

  static create (clock: Clock, notices: Notices): SuspectList {
    return new SuspectList(clock, notices)
  }

  get hasSuspects (): boolean {
    return this.clock.now() < this.suspectUntil
  }

  /** `refused` only for a request that crashed an upstream alone; being near a crash is not enough. */
  judge (fingerprint: string, crashes: number): 'usual' | 'alone' | 'refused' {
    const alone = this.countAlone(fingerprint, crashes)
    const near = this.notices.has('suspect', `${fingerprint}/${shared}`)
    if (alone > 0) return alone + (near ? 1 : 0) >= crashes ? 'refused' : 'alone'
    return near && !this.cleared.has(fingerprint) ? 'alone' : 'usual'
  }

  addShared (fingerprint: string, expiryMs: number): void {
    this.cleared.delete(fingerprint)
    this.notices.add('suspect', `${fingerprint}/${shared}`, expiryMs)
  }

  addAlone (fingerprint: string, expiryMs: number): void {
    const next = this.countAlone(fingerprint, 100) + 1
    this.notices.add('suspect', `${fingerprint}/${next}`, expiryMs)
  }

  clear (fingerprint: string): void {
    this.cleared.add(fingerprint)
    const [oldest] = this.cleared
    if (this.cleared.size > maxCleared && oldest !== undefined) this.cleared.delete(oldest)
  }

  dump (): { readonly suspects: readonly string[], readonly cleared: number } {
    const suspects = this.notices.list().filter(({ kind }) => kind === 'suspect').map(({ subject }) => subject)
    return { suspects, cleared: this.cleared.size }
  }

  private take ({ kind, expiresAt }: Notice): void {
    if (kind === 'suspect') this.suspectUntil = Math.max(this.suspectUntil, expiresAt)
  }

  private countAlone (fingerprint: string, most: number): number {
    let count = 0
    while (count < most && this.notices.has('suspect', `${fingerprint}/${count + 1}`)) count++
    return count
  }
}
