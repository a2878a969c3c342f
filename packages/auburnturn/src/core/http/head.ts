import type { IncomingMessage } from 'node:http'
import { countHeader, findHeader } from './headers.js'
import type { HeadRefusal } from './types.js'

/** Finds what is wrong with a head that Node.js's parser lets pass; undefined when nothing is. */
export function checkHead (request: IncomingMessage): HeadRefusal | undefined {
  const headers = request.rawHeaders
  const hosts = countHeader(headers, 'host')
  if (hosts > 1) return refuse('The head has more than one Host.')
  if (hosts === 0 && request.httpVersion === '1.1') return refuse('An HTTP/1.1 request needs a Host.')
  if (countHeader(headers, 'content-length') > 1) return refuse('The head has more than one Content-Length.')
  return checkCodings(request) ?? checkTarget(request.url ?? '') ?? checkUpgrade(request)
}

function checkCodings (request: IncomingMessage): HeadRefusal | undefined {
  const headers = request.rawHeaders
  const codings = findHeader(headers, 'transfer-encoding')
  if (codings === undefined) return undefined
  if (countHeader(headers, 'content-length') > 0) return refuse('The head has both Content-Length and Transfer-Encoding.')
  if (request.httpVersion === '1.0') return refuse('HTTP/1.0 has no Transfer-Encoding.')
  if (countHeader(headers, 'transfer-encoding') > 1 || codings.trim().toLowerCase() !== 'chunked') {
    return refuse('The only transfer coding that is understood is chunked.', 501)
  }
  return undefined
}

function checkTarget (target: string): HeadRefusal | undefined {
  if (target.startsWith('/') || /^https?:\/\/[^/?#]+([/?]|$)/i.test(target)) return undefined
  return refuse('The request target must be a path or an absolute http URL.')
}

function checkUpgrade (request: IncomingMessage): HeadRefusal | undefined {
  const protocols = findHeader(request.rawHeaders, 'upgrade')
  // A server may ignore an offer of HTTP/2, and clients send it unasked.
  if (protocols === undefined || protocols.trim().toLowerCase() === 'h2c') return undefined
  return refuse('Connections are not upgraded to another protocol.', 501)
}

function refuse (detail: string, status?: number): HeadRefusal {
  return { kind: 'refused', cause: 'bad-request', detail, ...(status === undefined ? {} : { status }) }
}
