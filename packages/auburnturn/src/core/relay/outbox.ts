import type { Entry } from '../configuration/index.js'
import type { Notice } from '../notices/index.js'
import { maxSentKeys } from './constants.js'

/**
 * Where an update entered. `root` is the member at the root of its tree within this failure domain, or '' for this node's
 * own notices; `rootDomain` is the failure domain at the root of the tree of domains.
 */
export interface Origin { readonly root: string, readonly rootDomain: string }

/** Updates with the same origin. */
export interface Batch extends Origin { readonly entries: readonly Entry[], readonly notices: readonly Notice[] }

interface PendingBatch extends Origin { readonly entries: Map<string, Entry>, readonly notices: Map<string, Notice> }

/** Updates waiting to be sent; of several editions of a key only the last one is kept. */
export class Outbox {
  private readonly pending = new Map<string, PendingBatch>()
  /** The last edition of each key that was queued, by tree. Queued editions count as sent. */
  private readonly sentEditions = new Map<string, string>()
  private wake: (() => void) | undefined

  private constructor () {}

  static create (): Outbox {
    return new Outbox()
  }

  /** Queues an edition once per tree. Several trees carry the same entry, so that one reaches nodes that another missed. */
  addEntry (origin: Origin, entry: Entry): void {
    if (this.markSent(origin, entry.key, `${entry.version} ${entry.good?.version ?? ''}`)) this.getPendingBatch(origin).entries.set(entry.key, entry)
  }

  /** Queues a notice unless it was already sent down the same tree with the same expiry time. */
  addNotice (origin: Origin, notice: Notice): void {
    const key = `${notice.kind}/${notice.subject}`
    if (this.markSent(origin, key, String(notice.expiresAt))) this.getPendingBatch(origin).notices.set(key, notice)
  }

  /** Whether entries are waiting to be sent, not only notices. */
  get hasEntries (): boolean {
    return [...this.pending.values()].some(({ entries }) => entries.size > 0)
  }

  /** Resolves when there is a batch to send, or `signal` aborts. */
  async waitForBatches (signal: AbortSignal): Promise<void> {
    if (this.pending.size > 0 || signal.aborted) return
    await new Promise<void>(resolve => {
      const done = (): void => {
        signal.removeEventListener('abort', done)
        this.wake = undefined
        resolve()
      }
      this.wake = done
      signal.addEventListener('abort', done, { once: true })
    })
  }

  /** Removes and returns all batches. */
  takeBatches (): Batch[] {
    const batches = [...this.pending.values()].map(({ root, rootDomain, entries, notices }) =>
      ({ root, rootDomain, entries: [...entries.values()], notices: [...notices.values()] }))
    this.pending.clear()
    return batches
  }

  /** Records an edition as sent; false when it is the last one already queued for that tree. */
  private markSent ({ root }: Origin, key: string, edition: string): boolean {
    const sentKey = `${root}\n${key}`
    if (this.sentEditions.get(sentKey) === edition) return false
    this.sentEditions.delete(sentKey)
    this.sentEditions.set(sentKey, edition)
    const [oldest] = this.sentEditions.keys()
    if (this.sentEditions.size > maxSentKeys && oldest !== undefined) this.sentEditions.delete(oldest)
    return true
  }

  private getPendingBatch ({ root, rootDomain }: Origin): PendingBatch {
    const key = `${rootDomain}\n${root}`
    const existing = this.pending.get(key)
    if (existing !== undefined) return existing
    const created: PendingBatch = { root, rootDomain, entries: new Map(), notices: new Map() }
    this.pending.set(key, created)
    this.wake?.()
    return created
  }
}
