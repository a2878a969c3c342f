import type { ReceivedRequest } from '../stand-in-target.js'

const headEnd = '\r\n\r\n'

/** Extracts requests from the bytes of one connection. Bodies must have a length, as those that nodes send. */
export class RequestReader {
  private received = Buffer.alloc(0)

  private constructor () {}

  static create (): RequestReader {
    return new RequestReader()
  }

  /** Adds received bytes; returns the requests that are now whole. */
  read (bytes: Buffer): ReceivedRequest[] {
    this.received = Buffer.concat([this.received, bytes])
    const requests: ReceivedRequest[] = []
    for (let request = this.take(); request !== undefined; request = this.take()) requests.push(request)
    return requests
  }

  private take (): ReceivedRequest | undefined {
    const headLength = this.received.indexOf(headEnd)
    if (headLength < 0) return undefined
    const [requestLine = '', ...headerLines] = this.received.toString('latin1', 0, headLength).split('\r\n')
    const headers = parseHeaders(headerLines)
    const bodyStart = headLength + headEnd.length
    const bodyEnd = bodyStart + Number(headers['content-length'] ?? 0)
    if (this.received.length < bodyEnd) return undefined
    const body = this.received.toString('latin1', bodyStart, bodyEnd)
    this.received = this.received.subarray(bodyEnd)
    const [method = '', path = ''] = requestLine.split(' ')
    return { id: headers['x-attempt-id'] ?? '', method, path, headers, body }
  }
}

function parseHeaders (lines: readonly string[]): Record<string, string> {
  return Object.fromEntries(lines.map(line => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
}
