/** Measures the memory of this process, and the time of single operations in it. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Returns the bytes in use on the heap and outside it, after a garbage collection. */
export function measureMemory (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Returns the mean time of `action` over `count` runs in microseconds, after a warm-up of a tenth as many runs. */
export function timeSync (count: number, action: () => void): number {
  for (let index = 0; index < count / 10; index++) action()
  const start = performance.now()
  for (let index = 0; index < count; index++) action()
  return (performance.now() - start) * 1_000 / count
}

/** Same as `timeSync` for an asynchronous action; each run waits for the previous one. */
export async function timeAsync (count: number, action: () => Promise<void>): Promise<number> {
  for (let index = 0; index < count / 10; index++) await action()
  const start = performance.now()
  for (let index = 0; index < count; index++) await action()
  return (performance.now() - start) * 1_000 / count
}
