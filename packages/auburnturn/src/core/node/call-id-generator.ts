/** Generates call ids from the incarnation and a counter, so that ids of different nodes never collide. */
export function createCallIdGenerator (incarnation: string): () => string {
  let count = 0
  return () => `${incarnation}-${(++count).toString(36)}`
}
