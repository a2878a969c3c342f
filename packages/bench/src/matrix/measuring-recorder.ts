import type { Node } from 'auburnturn'
import type { HistoryRecorder } from './history-recorder.js'

/** Time between two looks at what a node has spent, in milliseconds. */
const samplingIntervalMs = 200

interface MeasuringUsage {
  readonly limits: { readonly messagesPerSecond: number, readonly bytesPerSecond: number }
  readonly spent: { readonly messages: number, readonly bytes: number }
}

/** Records what `node` spends on measuring, as its own dump counts it, until the returned function is called. */
export function recordMeasuring (id: string, node: Node, recording: HistoryRecorder): () => void {
  let before = { messages: 0, bytes: 0 }
  const look = (): void => {
    const spending = readMeasuringUsage(node)
    if (spending === undefined) return
    const { limits, spent } = spending
    recording.add({ kind: 'measuring-spent', node: id, messages: spent.messages - before.messages, bytes: spent.bytes - before.bytes, budget: limits })
    before = spent
  }
  const timer = setInterval(look, samplingIntervalMs)
  return () => {
    clearInterval(timer)
    look()
  }
}

/** Undefined while the node measures nothing. */
function readMeasuringUsage (node: Node): MeasuringUsage | undefined {
  const parts = node.dump().parts as Record<string, { readonly state?: Partial<MeasuringUsage> }>
  const { limits, spent } = parts.measuring?.state ?? {}
  return limits === undefined || spent === undefined ? undefined : { limits, spent }
}
