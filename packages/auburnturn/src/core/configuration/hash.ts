import xxhash from 'xxhash-wasm'

const api = await xxhash()

/** 64-bit xxHash of a text. */
export function hashText (text: string): bigint {
  return api.h64(text)
}
