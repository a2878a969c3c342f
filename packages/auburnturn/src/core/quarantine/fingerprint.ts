import { createHash } from 'node:crypto'
import { headerNames } from '../call/index.js'
import type { Body, Call } from '../call/types.js'
import { findHeader } from '../http/headers.js'
import { fingerprintBodyBytes } from './constants.js'

/**
 * Identifies a request across repeated attempts: a hash of its service, method and path, and of the
 * caller's key (`Idempotency-Key` or ticket) or else the first bytes of its body.
 * Undefined when no key was given and the body is no longer buffered.
 */
export async function computeFingerprint (call: Call, body: Body): Promise<string | undefined> {
  const key = findHeader(call.headers, 'idempotency-key') ?? call.ticket ?? findHeader(call.headers, headerNames.ticket)
  if (key === undefined && !body.empty && !body.replayable) return undefined
  const keyOrBody = key ?? (body.empty ? '' : await readBodyStart(body))
  return hashRequest([call.service, call.method, call.path], Buffer.from(keyOrBody, 'latin1'))
}

/** Hashes what identifies a request to 16 hexadecimal digits, the same at all nodes. The fields contain no line ends. */
export function hashRequest (fields: readonly string[], body: Uint8Array): string {
  return createHash('sha1').update(`${fields.join('\n')}\n`).update(body).digest('hex').slice(0, 16)
}

async function readBodyStart (body: Body): Promise<string> {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of body.read()) {
    chunks.push(chunk)
    size += chunk.length
    if (size >= fingerprintBodyBytes) break
  }
  return Buffer.concat(chunks).subarray(0, fingerprintBodyBytes).toString('latin1')
}
