import type { IncomingMessage } from 'node:http'
import type { BodyMemory } from '../exchange/index.js'

/** Result of reading a request body. */
export type BodyReadResult =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The bodies that are being received exceed the memory limit together, and this one is the largest. */
  | { readonly kind: 'no-memory' }
  /** The sender disconnected before the end of the body. */
  | { readonly kind: 'cut' }

const noBody: BodyReadResult = { kind: 'whole', body: Buffer.alloc(0) }

/** Reads a request body of at most `maxBytes`. */
export async function readBody (request: IncomingMessage, { maxBytes, memory }: BodyLimits): Promise<BodyReadResult> {
  const { headers } = request
  if (headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0') return noBody
  if (Number(headers['content-length']) > maxBytes) return { kind: 'too-large' }
  const chunks: Buffer[] = []
  const read = await new Promise<BodyReadResult>(resolve => {
    let ended = false
    const bufferedBody = { bytes: 0, evict: () => { end({ kind: 'no-memory' }) } }
    const end = (result: BodyReadResult): void => {
      ended = true
      memory.release(bufferedBody)
      resolve(result)
    }
    request.on('data', (chunk: Buffer) => {
      if (ended) return
      chunks.push(chunk)
      memory.add(bufferedBody, chunk.length)
      if (bufferedBody.bytes > maxBytes) end({ kind: 'too-large' })
    })
    request.once('end', () => { end({ kind: 'whole', body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) }) })
    request.once('close', () => { end({ kind: 'cut' }) })
  })
  if (read.kind !== 'whole') chunks.length = 0
  return read
}

interface BodyLimits {
  readonly maxBytes: number
  /** Limits all bodies that are being received together. */
  readonly memory: BodyMemory
}
