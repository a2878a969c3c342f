import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { bodyBytes, ip } from './constants.js'

const body = Buffer.alloc(bodyBytes, 'y')

/** One way from the bench to an upstream. */
export interface Way {
  readonly name: string
  readonly path: string
  readonly pool: Pool
  /** Latencies in microseconds from the time at which each call was due. */
  readonly latencies: Histogram
  failures: number
}

export function createWay (name: string, port: number, path: string, connections = 128): Way {
  return { name, path, pool: new Pool(`http://${ip}:${port}`, { connections }), latencies: build(), failures: 0 }
}

/** Sends one call and reads its whole answer; true when it is the expected one. */
export async function sendCall (way: Way): Promise<boolean> {
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
    way.pool.dispatch({ method: 'POST', path: way.path, body }, handler as unknown as Dispatcher.DispatchHandler)
  })
}

/**
 * Sends calls on each way in turn at a fixed rate, whether or not earlier ones have ended.
 * A late start counts into the latency, so that a stall isn't omitted.
 */
export async function runOpenLoop (ways: readonly Way[], ratePerSecond: number, seconds: number): Promise<void> {
  const total = Math.floor(ratePerSecond * seconds)
  const start = performance.now()
  const calls: Array<Promise<void>> = []
  let index = 0
  await new Promise<void>(resolve => {
    // A timer would be late by up to a millisecond; this waits without one and still lets answers in.
    const sendDue = (): void => {
      for (; index < total; index++) {
        const due = start + index * 1000 / ratePerSecond
        if (performance.now() < due) break
        calls.push(measureCall(ways[index % ways.length] as Way, due))
      }
      if (index < total) setImmediate(sendDue)
      else resolve()
    }
    sendDue()
  })
  await Promise.all(calls)
}

/** Keeps `concurrency` calls in flight for some seconds; gives the calls that ended a second. */
export async function runClosedLoop (way: Way, concurrency: number, seconds: number): Promise<number> {
  const end = performance.now() + seconds * 1000
  let ended = 0
  const work = async (): Promise<void> => {
    while (performance.now() < end) {
      if (await sendCall(way)) ended++
      else way.failures++
    }
  }
  await Promise.all(Array.from({ length: concurrency }, work))
  return ended / seconds
}

async function measureCall (way: Way, due: number): Promise<void> {
  const whole = await sendCall(way)
  if (whole) way.latencies.recordValue(Math.round((performance.now() - due) * 1000))
  else way.failures++
}
