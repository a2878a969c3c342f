import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { bodyBytes, ip } from './constants.js'

const body = Buffer.alloc(bodyBytes, 'y')

/** One way from the bench to an upstream. */
export interface Variant {
  readonly name: string
  readonly path: string
  readonly pool: Pool
  /** Latencies in microseconds from the time at which each call was due. */
  readonly latencies: Histogram
  failures: number
}

export function createVariant (name: string, port: number, path: string, connections = 128): Variant {
  return { name, path, pool: new Pool(`http://${ip}:${port}`, { connections }), latencies: build(), failures: 0 }
}

/** Sends one call and reads its whole answer; true when it is the expected one. */
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
    // The plainest interface of undici, so that the generator itself adds little.
    variant.pool.dispatch({ method: 'POST', path: variant.path, body }, handler as unknown as Dispatcher.DispatchHandler)
  })
}

/**
 * Sends calls on each way in turn at a fixed rate, whether or not earlier ones have ended.
 * A late start counts into the latency, so that a stall isn't omitted.
 */
export async function runOpenLoop (variants: readonly Variant[], ratePerSecond: number, seconds: number): Promise<void> {
  const total = Math.floor(ratePerSecond * seconds)
  const startedAt = performance.now()
  const calls: Array<Promise<void>> = []
  let index = 0
  await new Promise<void>(resolve => {
    // A timer would be late by up to a millisecond; this waits without one and still lets answers in.
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

/** Keeps `concurrency` calls in flight for some seconds; gives the calls that ended a second. */
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
