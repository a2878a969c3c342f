import type { Node } from 'auburnturn'
import type { HistoryRecorder } from './history-recorder.js'

/** Interval between two samples of a node's measuring counters, in milliseconds. */
const samplingIntervalMs = 200

/** Limits and counters of the measuring budget, as the dump of a node has them. */
interface MeasuringUsage {
  readonly limits: { readonly messagesPerSecond: number, readonly bytesPerSecond: number }
  readonly spent: { readonly messages: number, readonly bytes: number }
}

/**
 * Records the messages and bytes that `node` spends on measuring, as counted in its own dump, until the returned function
 * is called.
 */
export function recordMeasuring (id: string, node: Node, recorder: HistoryRecorder): () => void {
  let previous = { messages: 0, bytes: 0 }
  const sample = (): void => {
    const usage = readMeasuringUsage(node)
    if (usage === undefined) return
    const { limits, spent } = usage
    recorder.add({ kind: 'measuring-spent', node: id, messages: spent.messages - previous.messages, bytes: spent.bytes - previous.bytes, budget: limits })
    previous = spent
  }
  const timer = setInterval(sample, samplingIntervalMs)
  return () => {
    clearInterval(timer)
    sample()
  }
}

/** Reads the usage from the node's dump; undefined while the node measures nothing. */
function readMeasuringUsage (node: Node): MeasuringUsage | undefined {
  const parts = node.dump().parts as Record<string, { readonly state?: Partial<MeasuringUsage> }>
  const { limits, spent } = parts.measuring?.state ?? {}
  return limits === undefined || spent === undefined ? undefined : { limits, spent }
}
