import { headerNames } from 'auburnturn'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { CallReport, CallRequest } from './types.js'

/** Time beyond the call's own after which the node counts as silent, in milliseconds. */
const graceMs = 1_000

/** Time that is allowed to a call without one of its own, in milliseconds. */
const defaultTimeoutMs = 60_000

const connectTimeoutMs = 2_000

/** Errors raised before a connection exists, so that nothing was sent. */
const beforeSending: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends one call and waits for its whole answer. Never rejects: a lost answer is a report of its own. */
export async function sendCall (call: CallRequest): Promise<CallReport> {
  const waitMs = (call.timeoutMs ?? defaultTimeoutMs) + graceMs
  const client = new Client(call.origin, { connect: { timeout: connectTimeoutMs }, headersTimeout: waitMs, bodyTimeout: waitMs })
  const start = performance.now()
  try {
    const answer = await client.request(createRequest(call))
    const body = await answer.body.text()
    return readReport(answer, body, performance.now() - start)
  } catch (error) {
    return readFailure(error, performance.now() - start)
  } finally {
    await client.destroy()
  }
}

function createRequest (call: CallRequest): Dispatcher.RequestOptions {
  const headers: Record<string, string> = { [headerNames.triedTargets]: 'wanted' }
  if (call.timeoutMs !== undefined) headers[headerNames.timeout] = String(call.timeoutMs)
  if (call.idempotent !== undefined) headers[headerNames.idempotent] = call.idempotent
  if (call.ticket !== undefined) headers[headerNames.ticket] = call.ticket
  const path = call.path.startsWith('/') ? call.path : `/${call.path}`
  return { method: call.method as Dispatcher.HttpMethod, path: `/~${call.service}${path}`, headers, body: call.body ?? null }
}

function readReport (answer: Dispatcher.ResponseData, body: string, milliseconds: number): CallReport {
  const verdict = readText(answer.headers[headerNames.verdict])
  return {
    verdict: verdict === 'not-run' || verdict === 'may-have-run' ? verdict : 'done',
    cause: readText(answer.headers[headerNames.cause]),
    status: answer.statusCode,
    milliseconds,
    way: readText(answer.headers[headerNames.triedTargets]),
    body
  }
}

function readFailure (error: unknown, milliseconds: number): CallReport {
  const { code = '', message } = error as NodeJS.ErrnoException
  const verdict = beforeSending.has(code) ? 'not-run' : 'may-have-run'
  return { verdict, cause: code === '' ? message : code, status: undefined, milliseconds, way: undefined, body: '' }
}

function readText (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value
}
