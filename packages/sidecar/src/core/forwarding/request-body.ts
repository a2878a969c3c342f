import type { IncomingMessage } from 'node:http'

/** A request body, read to its end. */
export type ReadBody =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The sender left before its end. */
  | { readonly kind: 'cut' }

const none: ReadBody = { kind: 'whole', body: Buffer.alloc(0) }

/** Reads a body of at most `maxBytes`. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<ReadBody> {
  const { headers } = request
  if (headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0') return none
  if (Number(headers['content-length']) > maxBytes) return { kind: 'too-large' }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > maxBytes) resolve({ kind: 'too-large' })
      else chunks.push(chunk)
    })
    request.once('end', () => { resolve({ kind: 'whole', body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) }) })
    request.once('close', () => { resolve({ kind: 'cut' }) })
  })
}
