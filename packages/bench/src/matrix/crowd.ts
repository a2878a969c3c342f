/** Runs `work` on every item, at most `width` at once; results keep the order of the items. */
export async function runCrowd<Item, Result> (items: readonly Item[], width: number, work: (item: Item) => Promise<Result>): Promise<Result[]> {
  const results: Result[] = []
  let next = 0
  const takeTurns = async (): Promise<void> => {
    while (next < items.length) {
      const index = next++
      results[index] = await work(items[index] as Item)
    }
  }
  await Promise.all(Array.from({ length: Math.min(width, items.length) }, takeTurns))
  return results
}
