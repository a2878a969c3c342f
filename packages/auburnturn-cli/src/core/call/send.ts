import { headerNames } from 'auburnturn'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { CallReport, CallRequest } from './types.js'

/** Time after the timeout of the call at which the node counts as unresponsive, in milliseconds. */
const responseGraceMs = 1_000

/** Timeout of a call that sets none, in milliseconds. */
const defaultTimeoutMs = 60_000

const connectTimeoutMs = 2_000

/** Codes of errors raised before a connection exists; the request was then not sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends one call and waits for the complete response. Never rejects: an error is returned as a report too. */
export async function sendCall (call: CallRequest): Promise<CallReport> {
  const waitMs = (call.timeoutMs ?? defaultTimeoutMs) + responseGraceMs
  const client = new Client(call.origin, { connect: { timeout: connectTimeoutMs }, headersTimeout: waitMs, bodyTimeout: waitMs })
  const start = performance.now()
  try {
    const response = await client.request(createRequest(call))
    const body = await response.body.text()
    return createReport(response, body, performance.now() - start)
  } catch (error) {
    return createFailureReport(error, performance.now() - start)
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

function createReport (response: Dispatcher.ResponseData, body: string, milliseconds: number): CallReport {
  const verdict = joinHeaderValues(response.headers[headerNames.verdict])
  return {
    verdict: verdict === 'not-run' || verdict === 'may-have-run' ? verdict : 'done',
    cause: joinHeaderValues(response.headers[headerNames.cause]),
    status: response.statusCode,
    milliseconds,
    way: joinHeaderValues(response.headers[headerNames.triedTargets]),
    body
  }
}

function createFailureReport (error: unknown, milliseconds: number): CallReport {
  const { code = '', message } = error as NodeJS.ErrnoException
  const verdict = connectErrorCodes.has(code) ? 'not-run' : 'may-have-run'
  return { verdict, cause: code === '' ? message : code, status: undefined, milliseconds, way: undefined, body: '' }
}

function joinHeaderValues (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value
}
