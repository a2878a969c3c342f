import type { IncomingMessage } from 'node:http'
import { isIPv6 } from 'node:net'
import { headerNames } from '../call/index.js'
import type { Call, RawHeaders } from '../call/types.js'
import type { CancelSignal, Clock } from '../clock/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import { findHeader, filterEndToEndHeaders, viaValue } from '../http/index.js'
import type { HeadRefusal, IdentificationResult } from '../http/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'

/** Path prefix that names the service: `/~orders/…`. */
const servicePath = /^\/~([a-z][a-z0-9-]{0,62})(\/.*|\?.*)?$/

/** Scheme and authority of a target in absolute form (RFC 9112, 3.2.2). */
const absoluteTarget = /^https?:\/\/([^/?#]+)(.*)$/i

/** Makes a call of a request head, with the configuration in force at this moment. */
export function identifyCall (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const fault = findHeaderFault(request.rawHeaders)
  if (fault !== undefined) return { kind: 'refused', cause: 'bad-request', detail: fault }
  return context.forwarded ? identifyForwarded(request, signal, context) : identifyFresh(request, signal, context)
}

/** Whether a call may repeat: the caller's word that it may not, then the profile's rules, then its methods. */
export function isIdempotent (method: string, path: string, word: string | undefined, profile: Profile): boolean {
  if (word === 'no') return false
  const { rules, methods } = profile.idempotency
  if (rules.length > 0) {
    const plain = path.split('?')[0] as string
    const rule = rules.find(candidate => candidate.method === method && matchesPath(candidate.path, plain))
    if (rule !== undefined) return rule.idempotent
  }
  return word === 'yes' || methods.includes(method)
}

function identifyFresh (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const { store, directory } = context
  const { service, path } = findRoute(request)
  if (!store.hasService(service) && !directory.hasService(service)) return unknownService
  const caller = request.socket.remoteAddress ?? ''
  const headers = filterEndToEndHeaders(request.rawHeaders)
  headers.push('forwarded', formatForwarded(caller, findHeader(headers, 'host')), 'via', viaValue)
  return { kind: 'call', call: createCall(request, { service, path, headers, caller, id: context.nextId(), signal }, context) }
}

function identifyForwarded (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const raw = request.rawHeaders
  const service = findHeader(raw, headerNames.service)
  if (service === undefined) return unknownService
  const path = request.url ?? '/'
  const id = findHeader(raw, headerNames.callId) ?? context.nextId()
  const caller = findHeader(raw, headerNames.caller) ?? ''
  const call = createCall(request, { service, path, headers: filterEndToEndHeaders(raw), caller, id, signal }, context)
  const successorWanted = findHeader(raw, headerNames.successor) === 'wanted'
  return { kind: 'call', call: successorWanted ? { ...call, successorWanted } : call }
}

/** Adds what callers and other nodes state alike. */
function createCall (request: IncomingMessage, known: KnownFields, { clock, store, forwarded }: IdentifyContext): Call {
  const raw = request.rawHeaders
  const method = request.method ?? 'GET'
  const profile = store.getProfile(known.service)
  const ticket = findHeader(raw, headerNames.ticket)
  const call: Call = {
    id: known.id,
    service: known.service,
    method,
    path: known.path,
    headers: known.headers,
    profile,
    idempotent: isIdempotent(method, known.path, findHeader(raw, headerNames.idempotent), profile),
    deadline: clock.now() + readTimeout(findHeader(raw, headerNames.timeout), profile),
    attempt: readCount(findHeader(raw, headerNames.attempt)),
    depth: readCount(findHeader(raw, headerNames.depth)) + 1,
    caller: known.caller,
    forwarded,
    signal: known.signal
  }
  return ticket === undefined ? call : { ...call, ticket }
}

/** The fields of a call that are found differently for callers and other nodes. */
type KnownFields = Pick<Call, 'id' | 'service' | 'path' | 'headers' | 'caller' | 'signal'>

const unknownService: HeadRefusal = {
  kind: 'refused',
  cause: 'unknown-service',
  detail: 'Name a known service by host or by a path that starts with /~SERVICE/.'
}

interface Route { readonly service: string, readonly path: string }

function findRoute (request: IncomingMessage): Route {
  const target = request.url ?? '/'
  const absolute = target.startsWith('/') ? null : absoluteTarget.exec(target)
  const path = absolute === null ? target : toPath(absolute[2] as string)
  const match = servicePath.exec(path)
  if (match !== null) return { service: match[1] as string, path: toPath(match[2] ?? '') }
  const host = absolute?.[1] ?? findHeader(request.rawHeaders, 'host') ?? ''
  return { service: host.split(/[.:]/)[0] as string, path }
}

function toPath (rest: string): string {
  return rest.startsWith('/') ? rest : `/${rest}`
}

function matchesPath (pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}

/** One element of `Forwarded` (RFC 7239); a name that needs quotes gets them. */
function formatForwarded (address: string, host: string | undefined): string {
  const node = isIPv6(address) ? `"[${address}]"` : address
  const element = `for=${node === '' ? 'unknown' : node};proto=http`
  return host === undefined || /["\\]/.test(host) ? element : `${element};host="${host}"`
}

/** A header of the callers' interface whose value can't be meant as it stands; refused rather than ignored. */
function findHeaderFault (headers: RawHeaders): string | undefined {
  const timeout = findHeader(headers, headerNames.timeout)
  if (timeout !== undefined && !/^\d{1,9}$/.test(timeout)) return `${headerNames.timeout} must be a whole number of milliseconds.`
  const word = findHeader(headers, headerNames.idempotent)
  if (word !== undefined && word !== 'yes' && word !== 'no') return `${headerNames.idempotent} must be yes or no.`
  return undefined
}

function readTimeout (value: string | undefined, profile: Profile): number {
  const { callMs } = profile.timeouts
  return value === undefined ? callMs : Math.min(Number(value), callMs)
}

function readCount (value: string | undefined): number {
  return value !== undefined && /^\d{1,3}$/.test(value) ? Number(value) : 0
}

interface IdentifyContext {
  readonly clock: Clock
  readonly store: ConfigurationStore
  readonly directory: Directory
  /** Whether calls come from other nodes, whose internal headers count. */
  readonly forwarded: boolean
  /** Names the next call. */
  readonly nextId: () => string
}
