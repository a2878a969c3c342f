import type { RawHeaders } from '../call/types.js'

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const hopByHop = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** The headers that go on to the next hop, without those whose names `drop` accepts. */
export function forwardHeaders (headers: RawHeaders, drop: (name: string) => boolean = () => false): string[] {
  const listed = listConnectionHeaders(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string
    const lower = name.toLowerCase()
    if (hopByHop.has(lower) || listed.has(lower) || drop(lower)) continue
    kept.push(name, headers[index + 1] as string)
  }
  return kept
}

/** The first value of a header, whose name is given in lower case. */
export function findHeader (headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === name) return headers[index + 1]
  }
  return undefined
}

function listConnectionHeaders (headers: RawHeaders): Set<string> {
  const value = findHeader(headers, 'connection')
  if (value === undefined) return new Set()
  return new Set(value.split(',').map(name => name.trim().toLowerCase()))
}
