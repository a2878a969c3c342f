/** Client of a node's operator address. */
import { Fault } from 'auburnturn'
import { request } from 'undici'
import { parseOrigin } from '../address/index.js'

/** Timeout of a dump request, in milliseconds. */
const answerTimeoutMs = 5_000

/** Returns the dump of the node at `address`, or one part of it; throws a `Fault` if it is unreachable or answers invalidly. */
export async function readDump (address: string, part = ''): Promise<unknown> {
  const path = part === '' ? '/dump' : `/dump/${encodeURIComponent(part)}`
  const { status, text } = await fetchText(address, `${parseOrigin(address)}${path}`)
  if (status === 404 && part !== '') throw Fault.create('part-unknown', `found part ${JSON.stringify(part)}; allowed: ${text.replace(/^Known parts: /, '').trim()}`)
  if (status !== 200) throw Fault.create('answer-invalid', `${address} answered with status ${status}`)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw Fault.create('answer-invalid', `${address} did not answer with JSON`, error)
  }
}

async function fetchText (address: string, url: string): Promise<{ status: number, text: string }> {
  try {
    const response = await request(url, { headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs })
    return { status: response.statusCode, text: await response.body.text() }
  } catch (error) {
    throw Fault.create('node-unreachable', `${address}: ${describeCause(error)}.`, error)
  }
}

/** Describes the cause of a failed request; uses the error code if the message is empty, as in an aggregate error. */
export function describeCause (error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException
  if (code === 'ECONNREFUSED') return 'connection refused'
  if (code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT' || code === 'UND_ERR_CONNECT_TIMEOUT') return 'it took too long'
  return message === '' || message === undefined ? code ?? String(error) : message
}
