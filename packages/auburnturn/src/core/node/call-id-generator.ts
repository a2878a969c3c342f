/** Names calls: a count behind the incarnation, so that no two nodes give the same name. */
export function createCallIdGenerator (incarnation: string): () => string {
  let count = 0
  return () => `${incarnation}-${(++count).toString(36)}`
}
