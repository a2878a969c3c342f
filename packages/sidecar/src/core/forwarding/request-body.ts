import type { IncomingMessage } from 'node:http'
import { BodyReceiver } from '../bodies/index.js'
import type { BodyLimits, BodyResult } from '../bodies/index.js'

const noBody: BodyResult = { kind: 'whole', body: Buffer.alloc(0) }

/** Reads a request body of at most `maxBytes`. One that names a size for which there is no memory is not read at all. */
export async function readBody (request: IncomingMessage, options: { readonly maxBytes: number, readonly bodyLimits: BodyLimits }): Promise<BodyResult> {
  const { headers } = request
  if (headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0') return noBody
  const namedBytes = Number(headers['content-length'] ?? 0)
  if (namedBytes > options.maxBytes) return { kind: 'too-large' }
  if (!options.bodyLimits.memory.fitsRequest(namedBytes)) return { kind: 'no-memory' }
  return await new Promise(resolve => { BodyReceiver.start(request, { ...options, onEnd: resolve }) })
}
