/** Runs `task` on every item, at most `concurrency` at a time; the results are in the order of the items. */
export async function runConcurrently<Item, Result> (items: readonly Item[], concurrency: number, task: (item: Item) => Promise<Result>): Promise<Result[]> {
  const results: Result[] = []
  let next = 0
  const runWorker = async (): Promise<void> => {
    while (next < items.length) {
      const index = next++
      results[index] = await task(items[index] as Item)
    }
  }
  await Promise.all(Array.from({ length: Math.min(concurrency, items.length) }, runWorker))
  return results
}
