import { validateHeaderName, validateHeaderValue } from 'node:http'
import type { Call, RawHeaders } from '../call/types.js'
import type { CancelSignal } from '../clock/index.js'
import { filterEndToEndHeaders } from '../http/index.js'
import { isIdempotent } from '../node/identify-call.js'
import type { Profile } from '../settings/index.js'
import type { ClientRequest } from './types.js'

const methodPattern = /^[A-Z]{1,20}$/
const pathPattern = /^\/[\u0021-\u007e]*$/

/** Values that a call needs in addition to its request. */
export interface CallContext {
  readonly id: string
  readonly caller: string
  /** Clock time in milliseconds. */
  readonly now: number
  readonly profile: Profile
  readonly signal: CancelSignal
}

/** Creates a call from a request; undefined when the request can't be written as HTTP. */
export function createCall (request: ClientRequest, { id, caller, now, profile, signal }: CallContext): Call | undefined {
  const { service, path, method = 'GET', timeoutMs = Infinity, ticket, depth = 1 } = request
  const headers = createHeaders(request)
  if (headers === undefined || !methodPattern.test(method) || !pathPattern.test(path)) return undefined
  const declared = request.idempotent === undefined ? undefined : request.idempotent ? 'yes' : 'no'
  return {
    id,
    service,
    method,
    path,
    headers,
    profile,
    idempotent: isIdempotent(method, path, declared, profile),
    deadline: now + Math.min(profile.timeouts.callMs, timeoutMs > 0 ? timeoutMs : Infinity),
    attempt: 0,
    depth,
    caller,
    forwarded: false,
    signal,
    ...(ticket === undefined ? {} : { ticket })
  }
}

/** Validates and filters the headers, and adds `host` if it is missing; undefined when one of them is invalid. */
function createHeaders ({ service, headers = {} }: ClientRequest): RawHeaders | undefined {
  const withHost = Object.keys(headers).some(name => name.toLowerCase() === 'host') ? headers : { host: service, ...headers }
  try {
    for (const [name, value] of Object.entries(withHost)) {
      validateHeaderName(name)
      validateHeaderValue(name, value)
    }
  } catch {
    return undefined
  }
  // The body is buffered completely, so its length is set again when it is sent.
  return filterEndToEndHeaders(Object.entries(withHost).filter(([name]) => name.toLowerCase() !== 'content-length').flat())
}
