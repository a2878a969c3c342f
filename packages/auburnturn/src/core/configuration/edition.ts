import { hashText } from './hash.js'
import type { Edition, Entry } from './types.js'

/** How an offered edition stands to the one held. */
export type EditionOrder = 'newer' | 'same' | 'older' | 'conflict-won' | 'conflict-lost'

interface VersionedText { readonly version: number, readonly text: string | undefined }

/**
 * Orders two editions of one key. Of two texts with the same version the one with the larger hash stays,
 * a removal being the smallest, so that all nodes end with the same one whatever came first.
 */
export function compareEditions (held: VersionedText | undefined, offered: VersionedText): EditionOrder {
  if (held === undefined || offered.version > held.version) return 'newer'
  if (offered.version < held.version) return 'older'
  if (offered.text === held.text) return 'same'
  return rankText(offered.text) > rankText(held.text) ? 'conflict-won' : 'conflict-lost'
}

/** The newer of two valid editions; a tie goes by the same rule as between entries. */
export function selectNewestEdition (one: Edition | undefined, other: Edition | undefined): Edition | undefined {
  if (one === undefined || other === undefined) return one ?? other
  const order = compareEditions(one, other)
  return order === 'newer' || order === 'conflict-won' ? other : one
}

/** The entry with `good` named only where it differs from the entry's own text. */
export function createEntry (key: string, current: VersionedText, good: Edition | undefined): Entry {
  const { version, text } = current
  const own = good !== undefined && good.version === version && good.text === text
  return good === undefined || own ? { key, version, text } : { key, version, text, good }
}

function rankText (text: string | undefined): bigint {
  return text === undefined ? -1n : hashText(text)
}
