import type { Change } from './types.js'

/** Changes worth telling, and the revision behind which they are all. */
export interface News {
  readonly from: number
  readonly changes: readonly Change[]
}

/**
 * Finds what the other nodes need to hear of a watch's answers: an entry that differs from the one before only in
 * how long its target stays slow is left out, since the node beside the target tells that.
 */
export class UntoldChanges {
  private readonly told = new Map<string, string>()
  /** Behind this revision nothing was told, and up to `upTo` nothing was worth it. */
  private from: number | undefined
  private upTo = -1

  private constructor () {}

  static create (): UntoldChanges {
    return new UntoldChanges()
  }

  /** Takes the answer of a watch that was asked behind `asked`; undefined when there is nothing to tell. */
  add (changes: readonly Change[], asked: number, revision: number): News | undefined {
    const from = this.from !== undefined && asked === this.upTo ? this.from : asked
    this.from = from
    this.upTo = revision
    const news = changes.filter(change => this.isNews(change))
    if (news.length === 0) return undefined
    this.from = undefined
    return { from, changes: news }
  }

  private isNews (change: Change): boolean {
    switch (change.kind) {
      case 'target': {
        const { id, ...target } = change.target
        const text = JSON.stringify({ ...target, coldMs: 0 })
        if (this.told.get(id) === text) return false
        this.told.set(id, text)
        return true
      }
      case 'gone':
        this.told.delete(change.id)
        return true
      case 'unusable':
        if (change.id !== undefined) this.told.delete(change.id)
        return true
      case 'configuration':
        return true
    }
  }
}
