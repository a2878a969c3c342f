import type { IncomingMessage } from 'node:http'
import { countHeader, findHeader, hasSpacedName } from './headers.js'
import type { HeadRefusal } from './types.js'

/** Validates what the parser of Node.js does not check in a request head; undefined if the head is valid. */
export function checkRequestHead (request: IncomingMessage): HeadRefusal | undefined {
  const headers = request.rawHeaders
  if (hasSpacedName(headers)) return createHeadRefusal('A header name has a space before its colon.')
  const hosts = countHeader(headers, 'host')
  if (hosts > 1) return createHeadRefusal('The head has more than one Host.')
  if (hosts === 0 && request.httpVersion === '1.1') return createHeadRefusal('An HTTP/1.1 request needs a Host.')
  if (countHeader(headers, 'content-length') > 1) return createHeadRefusal('The head has more than one Content-Length.')
  return checkTransferEncoding(request) ?? checkRequestTarget(request.url ?? '') ?? checkUpgrade(request)
}

function checkTransferEncoding (request: IncomingMessage): HeadRefusal | undefined {
  const headers = request.rawHeaders
  const codings = findHeader(headers, 'transfer-encoding')
  if (codings === undefined) return undefined
  if (countHeader(headers, 'content-length') > 0) return createHeadRefusal('The head has both Content-Length and Transfer-Encoding.')
  if (request.httpVersion === '1.0') return createHeadRefusal('HTTP/1.0 has no Transfer-Encoding.')
  if (countHeader(headers, 'transfer-encoding') > 1 || codings.trim().toLowerCase() !== 'chunked') {
    return createHeadRefusal('The only transfer coding that is understood is chunked.', 501)
  }
  return undefined
}

function checkRequestTarget (target: string): HeadRefusal | undefined {
  if (target.startsWith('/') || /^https?:\/\/[^/?#]+([/?]|$)/i.test(target)) return undefined
  return createHeadRefusal('The request target must be a path or an absolute http URL.')
}

function checkUpgrade (request: IncomingMessage): HeadRefusal | undefined {
  const protocols = findHeader(request.rawHeaders, 'upgrade')
  // Some clients offer an upgrade to HTTP/2 (h2c) with any request, and a server may ignore it.
  if (protocols === undefined || protocols.trim().toLowerCase() === 'h2c') return undefined
  return createHeadRefusal('Connections are not upgraded to another protocol.', 501)
}

function createHeadRefusal (detail: string, status?: number): HeadRefusal {
  return { kind: 'refused', cause: 'bad-request', detail, ...(status === undefined ? {} : { status }) }
}
