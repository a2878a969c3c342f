/** Non-cryptographic hashes (xxHash). */
import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** Weight of `member` for `key` in rendezvous hashing; the members with the highest weights are chosen. */
export function computeRendezvousWeight (key: string, member: string): number {
  return h32(`${key}\n${member}`)
}

/** 64-bit hash of `text` in hexadecimal. */
export function hash64Hex (text: string): string {
  return h64ToString(text)
}
