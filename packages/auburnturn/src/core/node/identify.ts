import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { headerNames } from '../call/index.js'
import type { Call } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import type { Store } from '../configuration/index.js'
import { findHeader } from '../http/index.js'
import type { Identified } from '../http/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'

/** Path prefix that names the service: `/~orders/…`. */
const servicePath = /^\/~([a-z][a-z0-9-]{0,62})(\/.*|\?.*)?$/

/** Makes a call of a request head, with the configuration in force at this moment. */
export function identifyCall (request: IncomingMessage, signal: AbortSignal, context: IdentifyContext): Identified {
  const { clock, store, directory, forwarded } = context
  const headers = request.rawHeaders
  const route = forwarded ? routeOfPeer(request) : routeOfCaller(request, name => store.hasService(name) || directory.hasService(name))
  if (route === undefined) {
    return { kind: 'refused', status: 404, cause: 'unknown-service', detail: 'Name a known service by host or by a path that starts with /~SERVICE/.' }
  }
  const profile = store.profileOf(route.service)
  const ticket = findHeader(headers, headerNames.ticket)
  const call: Call = {
    id: randomUUID(),
    service: route.service,
    method: request.method ?? 'GET',
    path: route.path,
    headers,
    profile,
    idempotent: isIdempotent(request.method ?? 'GET', route.path, findHeader(headers, headerNames.idempotent), profile),
    deadline: clock.now() + readTimeout(findHeader(headers, headerNames.timeout), profile),
    attempt: readCount(findHeader(headers, headerNames.attempt)),
    depth: readCount(findHeader(headers, headerNames.depth)) + 1,
    caller: request.socket.remoteAddress ?? '',
    forwarded,
    ...(ticket === undefined ? {} : { ticket }),
    signal
  }
  return { kind: 'call', call }
}

/** Whether a call may repeat: the caller's word that it may not, then the profile's rules, then its methods. */
export function isIdempotent (method: string, path: string, word: string | undefined, profile: Profile): boolean {
  if (word === 'no') return false
  const plain = path.split('?')[0] as string
  const rule = profile.idempotency.rules.find(candidate => candidate.method === method && matchesPath(candidate.path, plain))
  if (rule !== undefined) return rule.idempotent
  return word === 'yes' || profile.idempotency.methods.includes(method)
}

function matchesPath (pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}

interface Route { readonly service: string, readonly path: string }

function routeOfPeer (request: IncomingMessage): Route | undefined {
  const service = request.headers[headerNames.service]
  return typeof service === 'string' ? { service, path: request.url ?? '/' } : undefined
}

function routeOfCaller (request: IncomingMessage, isKnown: (service: string) => boolean): Route | undefined {
  const url = request.url ?? '/'
  const match = servicePath.exec(url)
  if (match !== null) {
    const service = match[1] as string
    const rest = match[2] ?? '/'
    return isKnown(service) ? { service, path: rest.startsWith('/') ? rest : `/${rest}` } : undefined
  }
  const service = (request.headers.host ?? '').split(/[.:]/)[0] as string
  return isKnown(service) ? { service, path: url } : undefined
}

function readTimeout (value: string | undefined, profile: Profile): number {
  const asked = Number(value ?? Number.NaN)
  return asked > 0 ? Math.min(asked, profile.timeouts.callMs) : profile.timeouts.callMs
}

function readCount (value: string | undefined): number {
  return /^\d{1,3}$/.test(value ?? '') ? Number(value) : 0
}

interface IdentifyContext {
  readonly clock: Clock
  readonly store: Store
  readonly directory: Directory
  readonly forwarded: boolean
}
