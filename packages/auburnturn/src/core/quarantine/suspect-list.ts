import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Notice, Notices } from '../notices/index.js'
import { chooseTreatment } from './choose-treatment.js'
import { maxClearedFingerprints } from './constants.js'
import type { TreatmentKind } from './types.js'

/**
 * Suffix of the subject of a notice about a request that was in flight together with others at a crash.
 * For the n-th crash while the request ran alone, the suffix is n.
 */
const sharedSuffix = 'shared'

/** Suspect requests recorded by this node and others, stored as notices, which are bounded in number and expire. */
export class SuspectList {
  private readonly notices: Notices
  /** Fingerprints of suspects that have since completed. */
  private readonly cleared = new Set<string>()

  /** Clock time in milliseconds at which the last suspect expires. */
  private lastExpiryAt = -Infinity
  private readonly clock: Clock
  readonly close: Cancel

  private constructor (clock: Clock, notices: Notices) {
    this.clock = clock
    this.notices = notices
    for (const notice of notices.list()) this.recordExpiry(notice)
    this.close = subscribe(clock, notices.changes, notice => { this.recordExpiry(notice) }, () => {})
  }

  static create (clock: Clock, notices: Notices): SuspectList {
    return new SuspectList(clock, notices)
  }

  get hasSuspects (): boolean {
    return this.clock.now() < this.lastExpiryAt
  }

  /** Returns how a request is handled that is refused after `crashes` crashes. */
  classify (fingerprint: string, crashes: number): TreatmentKind {
    const loneCrashes = this.countLoneCrashes(fingerprint, crashes)
    const sharedCrash = this.notices.has('suspect', `${fingerprint}/${sharedSuffix}`)
    return chooseTreatment({ loneCrashes, sharedCrash, cleared: this.cleared.has(fingerprint) }, crashes)
  }

  addSharedCrash (fingerprint: string, expiryMs: number): void {
    this.cleared.delete(fingerprint)
    this.notices.add('suspect', `${fingerprint}/${sharedSuffix}`, expiryMs)
  }

  addLoneCrash (fingerprint: string, expiryMs: number): void {
    const next = this.countLoneCrashes(fingerprint, 100) + 1
    this.notices.add('suspect', `${fingerprint}/${next}`, expiryMs)
  }

  clear (fingerprint: string): void {
    this.cleared.add(fingerprint)
    const [oldest] = this.cleared
    if (this.cleared.size > maxClearedFingerprints && oldest !== undefined) this.cleared.delete(oldest)
  }

  dump (): { readonly suspects: readonly string[], readonly cleared: number } {
    const suspects = this.notices.list().filter(({ kind }) => kind === 'suspect').map(({ subject }) => subject)
    return { suspects, cleared: this.cleared.size }
  }

  private recordExpiry ({ kind, expiresAt }: Notice): void {
    if (kind === 'suspect') this.lastExpiryAt = Math.max(this.lastExpiryAt, expiresAt)
  }

  private countLoneCrashes (fingerprint: string, max: number): number {
    let count = 0
    while (count < max && this.notices.has('suspect', `${fingerprint}/${count + 1}`)) count++
    return count
  }
}
