import { hashText } from './hash.js'
import type { Edition, Entry } from './types.js'

/** How an offered edition compares to the stored one. On a conflict, the offered edition wins or loses. */
export type EditionOrder = 'newer' | 'same' | 'older' | 'conflict-won' | 'conflict-lost'

interface VersionedText { readonly version: number, readonly text: string | undefined }

/**
 * Compares two editions of one key. Of two texts with the same version, the one with the larger hash wins, and a removal
 * ranks lowest. All nodes thus converge on the same edition, whichever they received first.
 */
export function compareEditions (held: VersionedText | undefined, offered: VersionedText): EditionOrder {
  if (held === undefined || offered.version > held.version) return 'newer'
  if (offered.version < held.version) return 'older'
  if (offered.text === held.text) return 'same'
  return rankText(offered.text) > rankText(held.text) ? 'conflict-won' : 'conflict-lost'
}

/** Returns the newer of two valid editions. Equal versions are ordered by `compareEditions`. */
export function selectNewestEdition (one: Edition | undefined, other: Edition | undefined): Edition | undefined {
  if (one === undefined || other === undefined) return one ?? other
  const order = compareEditions(one, other)
  return order === 'newer' || order === 'conflict-won' ? other : one
}

/** Creates an entry. `good` is the last good edition; it is left out if it equals the current one. */
export function createEntry (key: string, current: VersionedText, good: Edition | undefined): Entry {
  const { version, text } = current
  const isCurrent = good !== undefined && good.version === version && good.text === text
  return good === undefined || isCurrent ? { key, version, text } : { key, version, text, good }
}

/** Rank of a text among editions with the same version; `undefined` is a removal. */
function rankText (text: string | undefined): bigint {
  return text === undefined ? -1n : hashText(text)
}
