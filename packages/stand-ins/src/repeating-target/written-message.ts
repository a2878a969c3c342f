import { STATUS_CODES } from 'node:http'

/** Where the header with the id of the request stands among the headers of a message. */
export type IdPosition = 'first' | 'middle' | 'last'

/** How the end of a body is marked: by its length, in chunks, or by the end of the connection. */
export type Framing = 'length' | 'chunked' | 'none'

export type Header = readonly [name: string, value: string]

/** An answer or a refusal of a target, before it is serialized. */
export interface WrittenMessage {
  readonly kind: 'answer' | 'refusal'
  readonly status: number
  /** End-to-end headers, with that of the id. */
  readonly headers: readonly Header[]
  readonly body: string
  readonly framing: Framing
  /** Headers after the last chunk; only with framing `chunked`. */
  readonly trailers?: readonly Header[]
}

/** Name of the header that holds the id of the request. */
export const idHeaderName = 'X-Attempt-Id'

/** Inserts the header with the id into other headers. */
export function insertIdHeader (others: readonly Header[], id: string, position: IdPosition): Header[] {
  const index = { first: 0, middle: Math.ceil(others.length / 2), last: others.length }[position]
  return [...others.slice(0, index), [idHeaderName, id], ...others.slice(index)]
}

/** Serializes a message as it is written to the connection. */
export function serializeMessage ({ status, headers, body, framing, trailers = [] }: WrittenMessage): Buffer {
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Unknown'}`, ...formatHeaders(headers), ...formatFraming(status, body, framing)]
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n${formatBody(body, framing, trailers)}`, 'latin1')
}

function formatHeaders (headers: readonly Header[]): string[] {
  return headers.map(([name, value]) => `${name}: ${value}`)
}

/** Interim answers have no body. */
function formatFraming (status: number, body: string, framing: Framing): string[] {
  if (status < 200) return []
  switch (framing) {
    case 'length': return [`Content-Length: ${body.length}`]
    case 'chunked': return ['Transfer-Encoding: chunked']
    case 'none': return ['Connection: close']
  }
}

function formatBody (body: string, framing: Framing, trailers: readonly Header[]): string {
  if (framing !== 'chunked') return body
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
  return `${chunk}0\r\n${formatHeaders(trailers).map(line => `${line}\r\n`).join('')}\r\n`
}
