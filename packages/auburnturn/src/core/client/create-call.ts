import { validateHeaderName, validateHeaderValue } from 'node:http'
import type { Call, RawHeaders } from '../call/types.js'
import type { CancelSignal } from '../clock/index.js'
import { forwardHeaders } from '../http/index.js'
import { isIdempotent } from '../node/identify-call.js'
import type { Profile } from '../settings/index.js'
import type { ClientRequest } from './types.js'

const methodPattern = /^[A-Z]{1,20}$/
const pathPattern = /^\/[\u0021-\u007e]*$/

/** What a call takes from its surroundings. */
export interface CallContext {
  readonly id: string
  readonly caller: string
  readonly now: number
  readonly profile: Profile
  readonly signal: CancelSignal
}

/** Makes a call of a request; undefined when it can't be written as HTTP. */
export function createCall (request: ClientRequest, { id, caller, now, profile, signal }: CallContext): Call | undefined {
  const { service, path, method = 'GET', timeoutMs = Infinity, ticket, depth = 1 } = request
  const headers = createHeaders(request)
  if (headers === undefined || !methodPattern.test(method) || !pathPattern.test(path)) return undefined
  const word = request.idempotent === undefined ? undefined : request.idempotent ? 'yes' : 'no'
  return {
    id,
    service,
    method,
    path,
    headers,
    profile,
    idempotent: isIdempotent(method, path, word, profile),
    deadline: now + Math.min(profile.timeouts.callMs, timeoutMs > 0 ? timeoutMs : Infinity),
    attempt: 0,
    depth,
    caller,
    forwarded: false,
    signal,
    ...(ticket === undefined ? {} : { ticket })
  }
}

function createHeaders ({ service, headers = {} }: ClientRequest): RawHeaders | undefined {
  const named = Object.keys(headers).some(name => name.toLowerCase() === 'host') ? headers : { host: service, ...headers }
  try {
    for (const [name, value] of Object.entries(named)) {
      validateHeaderName(name)
      validateHeaderValue(name, value)
    }
  } catch {
    return undefined
  }
  // The body is held whole, so its length is written anew.
  return forwardHeaders(Object.entries(named).filter(([name]) => name.toLowerCase() !== 'content-length').flat())
}
