import { findHeader } from 'auburnturn/core/http'
import { hashRequest } from 'auburnturn/core/quarantine'
import type { Job } from '../requests/index.js'

/**
 * Identifies a request across repeated attempts and nodes, in 16 hexadecimal digits: a hash of its service, caller, method, host, path
 * and whole body.
 */
export function computeFingerprint ({ service, caller, method, headers, path, body }: Job): string {
  return hashRequest([service, caller, method, findHeader(headers, 'host') ?? '', path], body)
}
