import type { IncomingMessage } from 'node:http'
import { isIPv6 } from 'node:net'
import { headerNames } from '../call/index.js'
import type { Call, RawHeaders } from '../call/types.js'
import type { CancelSignal, Clock } from '../clock/index.js'
import type { ConfigurationStore } from '../configuration/index.js'
import { filterEndToEndHeaders, findHeader, viaValue } from '../http/index.js'
import type { HeadRefusal, IdentificationResult } from '../http/index.js'
import type { Directory } from '../membership/index.js'
import type { Profile } from '../settings/index.js'

/** Path prefix that selects the service: `/~orders/…`. */
const servicePathPattern = /^\/~([a-z][a-z0-9-]{0,62})(\/.*|\?.*)?$/

/** Request target in absolute form, with scheme and authority (RFC 9112, 3.2.2). */
const absoluteFormPattern = /^https?:\/\/([^/?#]+)(.*)$/i

/** Creates a call from a request head and the configuration in effect when it arrives, or refuses the request. */
export function identifyCall (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const problem = findHeaderProblem(request.rawHeaders)
  if (problem !== undefined) return { kind: 'refused', cause: 'bad-request', detail: problem }
  return context.forwarded ? identifyFromPeer(request, signal, context) : identifyFromCaller(request, signal, context)
}

/**
 * Whether a call may be retried after it may have run. In order of precedence: a `no` declared by the caller, the rules of
 * the profile, a `yes` declared by the caller, the methods of the profile.
 */
export function isIdempotent (method: string, path: string, declared: string | undefined, profile: Profile): boolean {
  if (declared === 'no') return false
  const { rules, methods } = profile.idempotency
  if (rules.length > 0) {
    const pathname = path.split('?')[0] as string
    const rule = rules.find(candidate => candidate.method === method && matchesPath(candidate.path, pathname))
    if (rule !== undefined) return rule.idempotent
  }
  return declared === 'yes' || methods.includes(method)
}

function identifyFromCaller (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const { store, directory } = context
  const { service, path } = parseServiceAndPath(request)
  if (!store.hasService(service) && !directory.hasService(service)) return unknownServiceRefusal
  const caller = request.socket.remoteAddress ?? ''
  const headers = filterEndToEndHeaders(request.rawHeaders)
  headers.push('forwarded', formatForwardedElement(caller, findHeader(headers, 'host')), 'via', viaValue)
  return { kind: 'call', call: createCall(request, { service, path, headers, caller, id: context.nextCallId(), signal }, context) }
}

function identifyFromPeer (request: IncomingMessage, signal: CancelSignal, context: IdentifyContext): IdentificationResult {
  const raw = request.rawHeaders
  const service = findHeader(raw, headerNames.service)
  if (service === undefined) return unknownServiceRefusal
  const path = request.url ?? '/'
  const id = findHeader(raw, headerNames.callId) ?? context.nextCallId()
  const caller = findHeader(raw, headerNames.caller) ?? ''
  const call = createCall(request, { service, path, headers: filterEndToEndHeaders(raw), caller, id, signal }, context)
  const successorWanted = findHeader(raw, headerNames.successor) === 'wanted'
  return { kind: 'call', call: successorWanted ? { ...call, successorWanted } : call }
}

/** Completes a call with the fields that are read in the same way for callers and for other nodes. */
function createCall (request: IncomingMessage, source: SourceFields, { clock, store, forwarded }: IdentifyContext): Call {
  const raw = request.rawHeaders
  const method = request.method ?? 'GET'
  const profile = store.getProfile(source.service)
  const ticket = findHeader(raw, headerNames.ticket)
  const call: Call = {
    id: source.id,
    service: source.service,
    method,
    path: source.path,
    headers: source.headers,
    profile,
    idempotent: isIdempotent(method, source.path, findHeader(raw, headerNames.idempotent), profile),
    deadline: clock.now() + parseTimeoutMs(findHeader(raw, headerNames.timeout), profile),
    attempt: parseCount(findHeader(raw, headerNames.attempt)),
    depth: parseCount(findHeader(raw, headerNames.depth)) + 1,
    caller: source.caller,
    forwarded,
    signal: source.signal
  }
  return ticket === undefined ? call : { ...call, ticket }
}

/** The fields of a call that are read differently for callers and for other nodes. */
type SourceFields = Pick<Call, 'id' | 'service' | 'path' | 'headers' | 'caller' | 'signal'>

const unknownServiceRefusal: HeadRefusal = {
  kind: 'refused',
  cause: 'unknown-service',
  detail: 'Name a known service by host or by a path that starts with /~SERVICE/.'
}

interface ServiceAndPath { readonly service: string, readonly path: string }

function parseServiceAndPath (request: IncomingMessage): ServiceAndPath {
  const target = request.url ?? '/'
  const absolute = target.startsWith('/') ? null : absoluteFormPattern.exec(target)
  const path = absolute === null ? target : addLeadingSlash(absolute[2] as string)
  const match = servicePathPattern.exec(path)
  if (match !== null) return { service: match[1] as string, path: addLeadingSlash(match[2] ?? '') }
  const host = absolute?.[1] ?? findHeader(request.rawHeaders, 'host') ?? ''
  return { service: host.split(/[.:]/)[0] as string, path }
}

function addLeadingSlash (rest: string): string {
  return rest.startsWith('/') ? rest : `/${rest}`
}

function matchesPath (pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}

/** Formats one element of `Forwarded` (RFC 7239). Hosts and IPv6 addresses are quoted; a host with `"` or `\` is left out. */
function formatForwardedElement (address: string, host: string | undefined): string {
  const node = isIPv6(address) ? `"[${address}]"` : address
  const element = `for=${node === '' ? 'unknown' : node};proto=http`
  return host === undefined || /["\\]/.test(host) ? element : `${element};host="${host}"`
}

/** Describes an invalid value in a header of the callers' interface. Such a request is refused; the header is not ignored. */
function findHeaderProblem (headers: RawHeaders): string | undefined {
  const timeout = findHeader(headers, headerNames.timeout)
  if (timeout !== undefined && !/^\d{1,9}$/.test(timeout)) return `${headerNames.timeout} must be a whole number of milliseconds.`
  const declared = findHeader(headers, headerNames.idempotent)
  if (declared !== undefined && declared !== 'yes' && declared !== 'no') return `${headerNames.idempotent} must be yes or no.`
  return undefined
}

/** Timeout of the call, at most the profile's `callMs`, which is also the default. */
function parseTimeoutMs (value: string | undefined, profile: Profile): number {
  const { callMs } = profile.timeouts
  return value === undefined ? callMs : Math.min(Number(value), callMs)
}

/** Parses up to three digits; 0 for a missing or invalid value. */
function parseCount (value: string | undefined): number {
  return value !== undefined && /^\d{1,3}$/.test(value) ? Number(value) : 0
}

interface IdentifyContext {
  readonly clock: Clock
  readonly store: ConfigurationStore
  readonly directory: Directory
  /** Whether the requests come from other nodes, whose internal headers are accepted. */
  readonly forwarded: boolean
  /** Generates the id of the next call. */
  readonly nextCallId: () => string
}
