import type { IncomingMessage } from 'node:http'
import type { BodyMemory } from '../exchange/index.js'

/** A request body, read to its end. */
export type BodyReadResult =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The bodies on their way take too much memory together, and this one most. */
  | { readonly kind: 'no-memory' }
  /** The sender left before its end. */
  | { readonly kind: 'cut' }

const noBody: BodyReadResult = { kind: 'whole', body: Buffer.alloc(0) }

/** Reads a body of at most `maxBytes`. */
export async function readBody (request: IncomingMessage, { maxBytes, memory }: BodyLimits): Promise<BodyReadResult> {
  const { headers } = request
  if (headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0') return noBody
  if (Number(headers['content-length']) > maxBytes) return { kind: 'too-large' }
  const chunks: Buffer[] = []
  const read = await new Promise<BodyReadResult>(resolve => {
    let over = false
    const holding = { bytes: 0, evict: () => { end({ kind: 'no-memory' }) } }
    const end = (result: BodyReadResult): void => {
      over = true
      memory.release(holding)
      resolve(result)
    }
    request.on('data', (chunk: Buffer) => {
      if (over) return
      chunks.push(chunk)
      memory.add(holding, chunk.length)
      if (holding.bytes > maxBytes) end({ kind: 'too-large' })
    })
    request.once('end', () => { end({ kind: 'whole', body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) }) })
    request.once('close', () => { end({ kind: 'cut' }) })
  })
  if (read.kind !== 'whole') chunks.length = 0
  return read
}

interface BodyLimits {
  readonly maxBytes: number
  readonly memory: BodyMemory
}
