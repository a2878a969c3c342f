import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Weight of `member` for `key` in rendezvous hashing; the highest weights win. */
export function weigh (key: string, member: string): number {
  return h32(`${key}\n${member}`)
}
