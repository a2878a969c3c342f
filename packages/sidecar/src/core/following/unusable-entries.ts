import type { Change } from '../store/index.js'
import { maxUnusableEntries } from './constants.js'

/**
 * Remembers which entries can't be used, so that each is logged once: until a usable entry takes its place, or its removal is read. An
 * odd entry may be read again with each list, or be written again every second. Full lists of other nodes don't contain such entries,
 * so a list without one says nothing about it.
 */
export class UnusableEntries {
  private readonly names = new Set<string>()

  private constructor () {}

  static create (): UnusableEntries {
    return new UnusableEntries()
  }

  /** Records changes. Returns the keys of entries that can't be used and that were not recorded before. */
  record (changes: readonly Change[]): string[] {
    const newKeys: string[] = []
    for (const change of changes) {
      const name = getName(change)
      if (change.kind !== 'unusable') this.names.delete(name)
      else if (this.add(name)) newKeys.push(change.key)
    }
    return newKeys
  }

  /** Adds a name; false if it is known. The oldest one above the maximum is forgotten. */
  private add (name: string): boolean {
    if (this.names.has(name)) return false
    this.names.add(name)
    const [oldest] = this.names
    if (oldest !== undefined && this.names.size > maxUnusableEntries) this.names.delete(oldest)
    return true
  }
}

/** Returns a name that the changes of one entry have in common. */
function getName (change: Change): string {
  switch (change.kind) {
    case 'target': return `target ${change.target.id}`
    case 'gone': return `target ${change.id}`
    case 'configuration': return 'configuration'
    case 'unusable': return change.id === undefined ? 'configuration' : `target ${change.id}`
  }
}
