/**
 * The store names no call in its answers, so their content has to show whose they are: keys, revisions and times. What content
 * can't show changes nothing either, as each rule says.
 */

/** What a page of a list shows. Entries without a key are left out. */
export interface ListPage {
  readonly keys: readonly string[]
  /** Revision of the store at which the page was read. */
  readonly revision: number
}

/** What an answer to a watch shows: the keys and revisions of its events, and the revision up to which it tells all. */
export interface WatchPage extends ListPage {
  readonly eventRevisions: readonly number[]
}

/** What is asked of a list: the keys with a prefix that are greater than `after`. */
export interface ListCall {
  readonly prefix: string
  readonly after: string
}

/** What is asked of a watch: the changes after a revision to keys with a prefix, within a time in milliseconds. */
export interface WatchCall {
  readonly prefix: string
  readonly after: number
  readonly waitMs: number
}

/** A watch that ends this much too early, in milliseconds, has the usual inaccuracy of timers. */
const timerMarginMs = 10

/** Whether a page can be the one that was asked for: it begins after the given key and is sorted. An earlier page is not. */
export function isListPage ({ prefix, after }: ListCall, { keys }: ListPage): boolean {
  return keys.every((key, index) => key.startsWith(prefix) && isBefore(keys[index - 1] ?? after, key))
}

/** Whether an answer can be that of the watch: each event is later than the revision asked from, which is not lost either. */
export function isWatchPage ({ prefix, after }: WatchCall, { keys, eventRevisions, revision }: WatchPage): boolean {
  return revision >= after && keys.every(key => key.startsWith(prefix)) && eventRevisions.every(event => event > after)
}

/**
 * Whether an answer to a watch is empty before its time. It tells nothing, but it may belong to an earlier watch, so the next answer
 * on its connection may belong to this one.
 */
export function isEarly ({ waitMs }: WatchCall, { keys }: WatchPage, tookMs: number): boolean {
  return keys.length === 0 && tookMs < waitMs - timerMarginMs
}

/** Whether the item is that of the key that was read. */
export function isItemOf (key: string, itemKey: unknown): boolean {
  return itemKey === key
}

/**
 * Remembers what this client has seen of the store, which loses nothing. A list that lacks it is an earlier list, or only a part
 * of one.
 */
export class SeenContent {
  private readonly key: string
  private newestRevision = 0
  /** Revision at which the store had the key; undefined before it was seen, and after it was removed. */
  private keySeenAt: number | undefined

  private constructor (key: string) {
    this.key = key
  }

  /** The operator writes `key` before traffic starts, and never removes it without an event. */
  static create ({ key }: { key: string }): SeenContent {
    return new SeenContent(key)
  }

  /** Records an answer that was attributed to its call; `removedKeys` are those that its events remove. */
  record ({ keys, revision }: ListPage, removedKeys: readonly string[] = []): void {
    this.newestRevision = Math.max(this.newestRevision, revision)
    if (removedKeys.includes(this.key)) this.keySeenAt = undefined
    else if (keys.includes(this.key)) this.keySeenAt ??= revision
  }

  /** Whether a page is at least as new as all that was seen; a stale page need not be. */
  isNewest ({ revision }: ListPage): boolean {
    return revision >= this.newestRevision
  }

  /** Whether a list has all its pages, as far as the key can show it: a part of a list would remove what it lacks. */
  isWhole ({ keys, revision }: ListPage): boolean {
    return this.keySeenAt === undefined || revision < this.keySeenAt || keys.includes(this.key)
  }

  /** Forgets all, when a connection on which an answer did not belong to its call is closed: the next one has no earlier answers. */
  forget (): void {
    this.newestRevision = 0
    this.keySeenAt = undefined
  }
}

/** Whether a key comes before another one, in the order of code units or in that of UTF-8 bytes. */
function isBefore (one: string, other: string): boolean {
  return one < other || (one !== other && Buffer.compare(Buffer.from(one), Buffer.from(other)) < 0)
}
