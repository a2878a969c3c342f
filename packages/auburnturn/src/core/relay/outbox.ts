import type { Entry } from '../configuration/index.js'
import type { Notice } from '../notices/index.js'
import { maxSent } from './constants.js'

/** Where news entered: the root of the tree that carries it, or '' for this node's own notices. */
export interface Origin { readonly root: string, readonly rootDomain: string }

/** News with one origin. */
export interface Batch extends Origin { readonly entries: readonly Entry[], readonly notices: readonly Notice[] }

interface Pile extends Origin { readonly entries: Map<string, Entry>, readonly notices: Map<string, Notice> }

/** News waiting to be sent; of several editions of a key only the last one is kept. */
export class Outbox {
  private readonly piles = new Map<string, Pile>()
  /** The edition of each key that last went down each tree. */
  private readonly sent = new Map<string, string>()
  private wake: (() => void) | undefined

  private constructor () {}

  static create (): Outbox {
    return new Outbox()
  }

  /** Nothing goes down the same tree twice. Several trees carry one entry, so that a gap in one is filled by another. */
  addEntry (origin: Origin, entry: Entry): void {
    if (this.isNew(origin, entry.key, `${entry.version} ${entry.good?.version ?? ''}`)) this.pileOf(origin).entries.set(entry.key, entry)
  }

  addNotice (origin: Origin, notice: Notice): void {
    const key = `${notice.kind}/${notice.subject}`
    if (this.isNew(origin, key, String(notice.expiresAt))) this.pileOf(origin).notices.set(key, notice)
  }

  /** Whether there is more to send than notices. */
  get hasEntries (): boolean {
    return [...this.piles.values()].some(({ entries }) => entries.size > 0)
  }

  /** Resolves when there is something to send, or `signal` aborts. */
  async ready (signal: AbortSignal): Promise<void> {
    if (this.piles.size > 0 || signal.aborted) return
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
  take (): Batch[] {
    const batches = [...this.piles.values()].map(({ root, rootDomain, entries, notices }) =>
      ({ root, rootDomain, entries: [...entries.values()], notices: [...notices.values()] }))
    this.piles.clear()
    return batches
  }

  private isNew ({ root }: Origin, key: string, edition: string): boolean {
    const sentKey = `${root}\n${key}`
    if (this.sent.get(sentKey) === edition) return false
    this.sent.delete(sentKey)
    this.sent.set(sentKey, edition)
    const [oldest] = this.sent.keys()
    if (this.sent.size > maxSent && oldest !== undefined) this.sent.delete(oldest)
    return true
  }

  private pileOf ({ root, rootDomain }: Origin): Pile {
    const key = `${rootDomain}\n${root}`
    const known = this.piles.get(key)
    if (known !== undefined) return known
    const fresh: Pile = { root, rootDomain, entries: new Map(), notices: new Map() }
    this.piles.set(key, fresh)
    this.wake?.()
    return fresh
  }
}
