import type { Entry } from '../configuration/index.js'
import type { Notice } from '../notices/index.js'

/** Where news entered: the root of the tree that carries it. */
export interface Origin { readonly root: string, readonly rootDomain: string }

/** News with one origin. */
export interface Batch extends Origin { readonly entries: readonly Entry[], readonly notices: readonly Notice[] }

interface Pile extends Origin { readonly entries: Map<string, Entry>, readonly notices: Map<string, Notice> }

/** News waiting to be sent; of several editions of a key only the last one is kept. */
export class Outbox {
  private readonly piles = new Map<string, Pile>()
  private wake: (() => void) | undefined

  private constructor () {}

  static create (): Outbox {
    return new Outbox()
  }

  addEntry (origin: Origin, entry: Entry): void {
    this.pileOf(origin).entries.set(entry.key, entry)
  }

  addNotice (origin: Origin, notice: Notice): void {
    this.pileOf(origin).notices.set(`${notice.kind}/${notice.subject}`, notice)
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
