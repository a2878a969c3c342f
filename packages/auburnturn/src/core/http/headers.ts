import { headerPrefix } from '../call/index.js'
import type { RawHeaders } from '../call/types.js'

/** Headers for a single connection (RFC 9110, 7.6.1), and framing headers that each hop sets itself. */
const hopByHopNames = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Lengths of the names above: most headers have another length and need no lookup by name. */
const hopByHopLengths = new Set([...hopByHopNames].map(name => name.length))

/** Returns the headers to forward to the next hop: end-to-end ones, except the system's own with `headerPrefix`. */
export function filterEndToEndHeaders (headers: RawHeaders): string[] {
  const connectionNames = parseConnectionHeader(headers)
  const forwarded: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string
    if (isForwarded(name, connectionNames)) forwarded.push(name, headers[index + 1] as string)
  }
  return forwarded
}

/** Returns the first value of a header; `name` is in lower case. */
export function findHeader (headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (matchesName(headers[index] as string, name)) return headers[index + 1]
  }
  return undefined
}

/** Counts the occurrences of a header; `name` is in lower case. */
export function countHeader (headers: RawHeaders, name: string): number {
  let count = 0
  for (let index = 0; index < headers.length; index += 2) {
    if (matchesName(headers[index] as string, name)) count++
  }
  return count
}

/** Whether the first value of a header lists `token`; `name` and `token` are in lower case. */
export function hasToken (headers: RawHeaders, name: string, token: string): boolean {
  const value = findHeader(headers, name)
  if (value === undefined) return false
  return value === token || parseTokenList(value).includes(token)
}

function isForwarded (name: string, connectionNames: readonly string[]): boolean {
  const lower = name.toLowerCase()
  if (lower.startsWith(headerPrefix)) return false
  if (hopByHopLengths.has(lower.length) && hopByHopNames.has(lower)) return false
  return connectionNames.length === 0 || !connectionNames.includes(lower)
}

function matchesName (name: string, lower: string): boolean {
  return name.length === lower.length && (name === lower || name.toLowerCase() === lower)
}

/** Names that `Connection` limits to this hop, except `Content-Length` and `Host`, which it must not remove. */
function parseConnectionHeader (headers: RawHeaders): readonly string[] {
  let names: readonly string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if (!matchesName(headers[index] as string, 'connection')) continue
    const value = headers[index + 1] as string
    if (value !== 'keep-alive' && value !== 'close') names = [...names, ...parseTokenList(value)]
  }
  return names.filter(name => name !== 'content-length' && name !== 'host')
}

function parseTokenList (value: string): string[] {
  return value.split(',').map(item => item.trim().toLowerCase())
}

/**
 * Whether a header name has a space before its colon. Not every parser of Node.js 20 rejects that, and a receiver may take it for the
 * name without the space (RFC 9112, 5.1).
 */
export function hasSpacedName (headers: RawHeaders): boolean {
  return headers.some((text, index) => index % 2 === 0 && text.endsWith(' '))
}
