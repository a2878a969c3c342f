import type { Change } from './types.js'

/** Changes worth telling, and the revision behind which they are all. */
export interface Announcement {
  readonly from: number
  readonly changes: readonly Change[]
}

/**
 * Finds what the other nodes need to hear of a watch's answers: an entry that differs from the one before only in
 * how long its target stays slow is left out, since the node beside the target tells that.
 */
export class AnnouncementFilter {
  private readonly announced = new Map<string, string>()
  /** Behind this revision nothing was told, and up to `upTo` nothing was worth it. */
  private pendingFrom: number | undefined
  private pendingTo = -1

  private constructor () {}

  static create (): AnnouncementFilter {
    return new AnnouncementFilter()
  }

  /** Takes the answer of a watch that was asked behind `asked`; undefined when there is nothing to tell. */
  select (changes: readonly Change[], asked: number, revision: number): Announcement | undefined {
    const from = this.pendingFrom !== undefined && asked === this.pendingTo ? this.pendingFrom : asked
    this.pendingFrom = from
    this.pendingTo = revision
    const news = changes.filter(change => this.needsAnnouncement(change))
    if (news.length === 0) return undefined
    this.pendingFrom = undefined
    return { from, changes: news }
  }

  private needsAnnouncement (change: Change): boolean {
    switch (change.kind) {
      case 'target': {
        const { id, ...target } = change.target
        const text = JSON.stringify({ ...target, coldMs: 0 })
        if (this.announced.get(id) === text) return false
        this.announced.set(id, text)
        return true
      }
      case 'gone':
        this.announced.delete(change.id)
        return true
      case 'unusable':
        if (change.id !== undefined) this.announced.delete(change.id)
        return true
      case 'configuration':
        return true
    }
  }
}
