import { asJsonObject, asNonEmptyString } from '../core/decoding/index.js'

/** Finds the key after which the next page of a list begins. A key that comes back would repeat the same pages without end. */
export class ListCursor {
  private readonly usedKeys = new Set<string>()

  private constructor () {}

  static create (): ListCursor {
    return new ListCursor()
  }

  /**
   * Returns the key after which the page that follows `entries` begins: that of the last entry that has one. Returns undefined if no
   * entry has a key, or if a page began there before.
   */
  advance (entries: readonly unknown[]): string | undefined {
    const keys = entries.map(entry => asNonEmptyString(asJsonObject(entry)?.['key']))
    const key = keys.findLast(one => one !== undefined)
    if (key === undefined || this.usedKeys.has(key)) return undefined
    this.usedKeys.add(key)
    return key
  }
}
