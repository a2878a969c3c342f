import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { bodyBytes, ip } from './constants.js'

const body = Buffer.alloc(bodyBytes, 'y')

/** One variant of the path from the bench to an upstream: direct, through a pipe, or through nodes. */
export interface Variant {
  readonly name: string
  readonly path: string
  readonly pool: Pool
  /** Latencies in microseconds, counted from the time at which each call was due. */
  readonly latencies: Histogram
  /** Calls without the expected response. */
  failures: number
}

export function createVariant (name: string, port: number, path: string, connections = 128): Variant {
  return { name, path, pool: new Pool(`http://${ip}:${port}`, { connections }), latencies: build(), failures: 0 }
}

/** Sends one call and reads the complete response; true when it is the expected one. */
export async function sendCall (variant: Variant): Promise<boolean> {
  return await new Promise<boolean>(resolve => {
    let status = 0
    let bytes = 0
    const handler = {
      onConnect () {},
      onHeaders (code: number) {
        status = code
        return true
      },
      onData (chunk: Buffer) {
        bytes += chunk.length
        return true
      },
      onComplete () { resolve(status === 200 && bytes === bodyBytes) },
      onError () { resolve(false) }
    }
    // dispatch is the lowest-level interface of undici, so that the load generator itself adds little time.
    variant.pool.dispatch({ method: 'POST', path: variant.path, body }, handler as unknown as Dispatcher.DispatchHandler)
  })
}

/**
 * Sends calls on the variants in rotation at a fixed total rate, whether or not earlier calls have ended.
 * A delayed start counts as latency, to avoid coordinated omission.
 */
export async function runOpenLoop (variants: readonly Variant[], ratePerSecond: number, seconds: number): Promise<void> {
  const total = Math.floor(ratePerSecond * seconds)
  const startedAt = performance.now()
  const calls: Array<Promise<void>> = []
  let index = 0
  await new Promise<void>(resolve => {
    // A timer may fire up to a millisecond late; setImmediate waits without a timer and still lets responses be processed.
    const sendDueCalls = (): void => {
      for (; index < total; index++) {
        const dueAt = startedAt + index * 1000 / ratePerSecond
        if (performance.now() < dueAt) break
        calls.push(measureCall(variants[index % variants.length] as Variant, dueAt))
      }
      if (index < total) setImmediate(sendDueCalls)
      else resolve()
    }
    sendDueCalls()
  })
  await Promise.all(calls)
}

/** Keeps `concurrency` calls in flight for some seconds; returns the number of successful calls per second. */
export async function runClosedLoop (variant: Variant, concurrency: number, seconds: number): Promise<number> {
  const endAt = performance.now() + seconds * 1000
  let completed = 0
  const runWorker = async (): Promise<void> => {
    while (performance.now() < endAt) {
      if (await sendCall(variant)) completed++
      else variant.failures++
    }
  }
  await Promise.all(Array.from({ length: concurrency }, runWorker))
  return completed / seconds
}

async function measureCall (variant: Variant, dueAt: number): Promise<void> {
  const succeeded = await sendCall(variant)
  if (succeeded) variant.latencies.recordValue(Math.round((performance.now() - dueAt) * 1000))
  else variant.failures++
}
