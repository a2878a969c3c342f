import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns the 64-bit xxHash of a text. */
export function hashText (text: string): bigint {
  return hasher.h64(text)
}
