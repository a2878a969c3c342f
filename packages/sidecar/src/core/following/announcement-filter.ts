import type { Change } from '../store/index.js'

/** Changes to announce: all that other nodes need after revision `from`. */
export interface Announcement {
  readonly from: number
  readonly changes: readonly Change[]
}

/** Stands for an announced entry that can't be used; no JSON is equal to it. */
const unusable = 'unusable'

/**
 * Selects the changes of a watch that other nodes need. An entry that differs from the previous one only in how long
 * its target stays slow after its start (`coldMs`) is omitted, since the node on the target's VM reports that itself. So is
 * one that can't be used and that was announced before, since an odd entry may be written again every second.
 */
export class AnnouncementFilter {
  /** Last announced entry of each target by id: JSON without `coldMs`, or `unusable`. */
  private readonly announced = new Map<string, string>()
  /** After this revision, up to `pendingTo`, nothing had to be announced; undefined right after an announcement. */
  private pendingFrom: number | undefined
  private pendingTo = -1

  private constructor () {}

  static create (): AnnouncementFilter {
    return new AnnouncementFilter()
  }

  /** Processes the answer of a watch from `watchedFrom` up to `revision`; undefined if there is nothing to announce. */
  select (changes: readonly Change[], watchedFrom: number, revision: number): Announcement | undefined {
    const from = this.pendingFrom !== undefined && watchedFrom === this.pendingTo ? this.pendingFrom : watchedFrom
    this.pendingFrom = from
    this.pendingTo = revision
    const announced = changes.filter(change => this.needsAnnouncement(change))
    if (announced.length === 0) return undefined
    this.pendingFrom = undefined
    return { from, changes: announced }
  }

  /**
   * Discards what was announced of the targets in changes that this node learned from another reader: its own watch may skip them,
   * and an entry that returns unchanged after them must be announced.
   */
  forget (changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.kind === 'target') this.announced.delete(change.target.id)
      if (change.kind === 'gone') this.announced.delete(change.id)
      if (change.kind === 'unusable' && change.id !== undefined) this.announced.delete(change.id)
    }
  }

  /** Discards all that was announced, because this node has the full list again and may have skipped any change before it. */
  forgetAll (): void {
    this.announced.clear()
  }

  private needsAnnouncement (change: Change): boolean {
    switch (change.kind) {
      case 'target': {
        const { id, ...target } = change.target
        const entry = JSON.stringify({ ...target, coldMs: 0 })
        if (this.announced.get(id) === entry) return false
        this.announced.set(id, entry)
        return true
      }
      case 'gone':
        this.announced.delete(change.id)
        return true
      case 'unusable':
        if (change.id === undefined) return true
        if (this.announced.get(change.id) === unusable) return false
        this.announced.set(change.id, unusable)
        return true
      case 'configuration':
        return true
    }
  }
}
