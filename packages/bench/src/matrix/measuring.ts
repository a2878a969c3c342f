import type { Node } from 'auburnturn'
import type { Recording } from './recording.js'

/** Time between two looks at what a node has spent, in milliseconds. */
const lookMs = 200

interface Spending {
  readonly limits: { readonly messagesPerSecond: number, readonly bytesPerSecond: number }
  readonly spent: { readonly messages: number, readonly bytes: number }
}

/** Records what `node` spends on measuring, as its own dump counts it, until the returned function is called. */
export function watchMeasuring (id: string, node: Node, recording: Recording): () => void {
  let before = { messages: 0, bytes: 0 }
  const look = (): void => {
    const spending = readSpending(node)
    if (spending === undefined) return
    const { limits, spent } = spending
    recording.add({ kind: 'measuring-spent', node: id, messages: spent.messages - before.messages, bytes: spent.bytes - before.bytes, budget: limits })
    before = spent
  }
  const timer = setInterval(look, lookMs)
  return () => {
    clearInterval(timer)
    look()
  }
}

/** Undefined while the node measures nothing. */
function readSpending (node: Node): Spending | undefined {
  const parts = node.dump().parts as Record<string, { readonly state?: Partial<Spending> }>
  const { limits, spent } = parts.measuring?.state ?? {}
  return limits === undefined || spent === undefined ? undefined : { limits, spent }
}
