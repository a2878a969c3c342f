/** Reads the operator address of a node. */
import { Fault } from 'auburnturn'
import { request } from 'undici'
import { parseOrigin } from '../address/index.js'

/** Longest wait for a node's dump, in milliseconds. */
const answerTimeoutMs = 5_000

/** The dump of the node at `address`, or one part of it; throws a fault of the catalogue. */
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
    const answer = await request(url, { headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs })
    return { status: answer.statusCode, text: await answer.body.text() }
  } catch (error) {
    throw Fault.create('node-unreachable', `${address}: ${describeCause(error)}.`, error)
  }
}

/** The cause of a failed request in a few words; an aggregate error has none of its own. */
export function describeCause (error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException
  if (code === 'ECONNREFUSED') return 'connection refused'
  if (code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT' || code === 'UND_ERR_CONNECT_TIMEOUT') return 'it took too long'
  return message === '' || message === undefined ? code ?? String(error) : message
}
