/** Memory and processor time of single pieces of work in this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Bytes held on the heap and beside it, after a collection. */
export function measureMemory (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Microseconds that `work` takes, the mean of `count` runs after a warm-up. */
export function timeSync (count: number, action: () => void): number {
  for (let index = 0; index < count / 10; index++) action()
  const start = performance.now()
  for (let index = 0; index < count; index++) action()
  return (performance.now() - start) * 1_000 / count
}

/** The same for work that resolves later; each run waits for the one before. */
export async function timeAsync (count: number, action: () => Promise<void>): Promise<number> {
  for (let index = 0; index < count / 10; index++) await action()
  const start = performance.now()
  for (let index = 0; index < count; index++) await action()
  return (performance.now() - start) * 1_000 / count
}
