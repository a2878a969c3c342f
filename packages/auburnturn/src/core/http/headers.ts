import { headerPrefix } from '../call/index.js'
import type { RawHeaders } from '../call/types.js'

/** Headers that concern one connection only (RFC 9110, 7.6.1), and framing that each hop sets anew. */
const hopByHopNames = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Lengths of the names above; most names need no look into the set. */
const hopByHopLengths = new Set([...hopByHopNames].map(name => name.length))

/** The headers that go on to the next hop: end-to-end ones without the system's own. */
export function filterEndToEndHeaders (headers: RawHeaders): string[] {
  const listed = parseConnectionHeader(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string
    if (isForwarded(name, listed)) kept.push(name, headers[index + 1] as string)
  }
  return kept
}

/** The first value of a header, whose name is given in lower case. */
export function findHeader (headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (matchesName(headers[index] as string, name)) return headers[index + 1]
  }
  return undefined
}

/** How often a header, whose name is given in lower case, stands in a head. */
export function countHeader (headers: RawHeaders, name: string): number {
  let count = 0
  for (let index = 0; index < headers.length; index += 2) {
    if (matchesName(headers[index] as string, name)) count++
  }
  return count
}

/** Whether a header, named in lower case, lists `token`. */
export function hasToken (headers: RawHeaders, name: string, token: string): boolean {
  const value = findHeader(headers, name)
  if (value === undefined) return false
  return value === token || parseTokenList(value).includes(token)
}

function isForwarded (name: string, listed: readonly string[]): boolean {
  const lower = name.toLowerCase()
  if (lower.startsWith(headerPrefix)) return false
  if (hopByHopLengths.has(lower.length) && hopByHopNames.has(lower)) return false
  return listed.length === 0 || !listed.includes(lower)
}

function matchesName (name: string, lower: string): boolean {
  return name.length === lower.length && (name === lower || name.toLowerCase() === lower)
}

/** Headers that `Connection` binds to this hop; framing can't be taken away in this manner. */
function parseConnectionHeader (headers: RawHeaders): readonly string[] {
  let listed: readonly string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if (!matchesName(headers[index] as string, 'connection')) continue
    const value = headers[index + 1] as string
    if (value !== 'keep-alive' && value !== 'close') listed = [...listed, ...parseTokenList(value)]
  }
  return listed.filter(name => name !== 'content-length' && name !== 'host')
}

function parseTokenList (value: string): string[] {
  return value.split(',').map(item => item.trim().toLowerCase())
}
