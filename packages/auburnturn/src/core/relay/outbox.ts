import type { Entry } from '../configuration/index.js'
import type { Notice } from '../notices/index.js'
import { maxSentKeys } from './constants.js'

/** Where news entered: the root of the tree that carries it, or '' for this node's own notices. */
export interface Origin { readonly root: string, readonly rootDomain: string }

/** News with one origin. */
export interface Batch extends Origin { readonly entries: readonly Entry[], readonly notices: readonly Notice[] }

interface PendingBatch extends Origin { readonly entries: Map<string, Entry>, readonly notices: Map<string, Notice> }

/** News waiting to be sent; of several editions of a key only the last one is kept. */
export class Outbox {
  private readonly pending = new Map<string, PendingBatch>()
  /** The edition of each key that last went down each tree. */
  private readonly sentEditions = new Map<string, string>()
  private wake: (() => void) | undefined

  private constructor () {}

  static create (): Outbox {
    return new Outbox()
  }

  /** Nothing goes down the same tree twice. Several trees carry one entry, so that a gap in one is filled by another. */
  addEntry (origin: Origin, entry: Entry): void {
    if (this.markSent(origin, entry.key, `${entry.version} ${entry.good?.version ?? ''}`)) this.getPendingBatch(origin).entries.set(entry.key, entry)
  }

  addNotice (origin: Origin, notice: Notice): void {
    const key = `${notice.kind}/${notice.subject}`
    if (this.markSent(origin, key, String(notice.expiresAt))) this.getPendingBatch(origin).notices.set(key, notice)
  }

  /** Whether there is more to send than notices. */
  get hasEntries (): boolean {
    return [...this.pending.values()].some(({ entries }) => entries.size > 0)
  }

  /** Resolves when there is something to send, or `signal` aborts. */
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

  /** Empties the outbox. */
  takeBatches (): Batch[] {
    const batches = [...this.pending.values()].map(({ root, rootDomain, entries, notices }) =>
      ({ root, rootDomain, entries: [...entries.values()], notices: [...notices.values()] }))
    this.pending.clear()
    return batches
  }

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
    const known = this.pending.get(key)
    if (known !== undefined) return known
    const fresh: PendingBatch = { root, rootDomain, entries: new Map(), notices: new Map() }
    this.pending.set(key, fresh)
    this.wake?.()
    return fresh
  }
}
