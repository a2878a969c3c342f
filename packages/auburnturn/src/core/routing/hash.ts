import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** Weight of `member` for `key` in rendezvous hashing; the highest weights win. */
export function weigh (key: string, member: string): number {
  return h32(`${key}\n${member}`)
}

/** 64 bits of `text` in hexadecimal. */
export function hash (text: string): string {
  return h64ToString(text)
}
