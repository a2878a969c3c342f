/** Non-cryptographic hashes (xxHash). */
import xxhash from 'xxhash-wasm'

const { h32, h64Raw, h64ToString } = await xxhash()

/** Weight of `member` for `key` in rendezvous hashing; the members with the highest weights are chosen. */
export function computeRendezvousWeight (key: string, member: string): number {
  return h32(`${key}\n${member}`)
}

/** 64-bit hash of `text` in hexadecimal. */
export function hash64Hex (text: string): string {
  return h64ToString(text)
}

/** 64-bit hash of bytes in hexadecimal. */
export function hashBytes64Hex (bytes: Uint8Array): string {
  return h64Raw(bytes).toString(16).padStart(16, '0')
}
