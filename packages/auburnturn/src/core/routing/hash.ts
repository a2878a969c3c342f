/** Non-cryptographic hash (xxHash). */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Weight of `member` for `key` in rendezvous hashing; the members with the highest weights are chosen. */
export function computeRendezvousWeight (key: string, member: string): number {
  return h32(`${key}\n${member}`)
}
