import { headerNames } from 'auburnturn'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { CallReport, CallRequest } from './types.js'

/** Time beyond the call's own after which the node counts as silent, in milliseconds. */
const responseGraceMs = 1_000

/** Time that is allowed to a call without one of its own, in milliseconds. */
const defaultTimeoutMs = 60_000

const connectTimeoutMs = 2_000

/** Errors raised before a connection exists, so that nothing was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends one call and waits for its whole answer. Never rejects: a lost answer is a report of its own. */
export async function sendCall (call: CallRequest): Promise<CallReport> {
  const waitMs = (call.timeoutMs ?? defaultTimeoutMs) + responseGraceMs
  const client = new Client(call.origin, { connect: { timeout: connectTimeoutMs }, headersTimeout: waitMs, bodyTimeout: waitMs })
  const start = performance.now()
  try {
    const answer = await client.request(createRequest(call))
    const body = await answer.body.text()
    return createReport(answer, body, performance.now() - start)
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

function createReport (answer: Dispatcher.ResponseData, body: string, milliseconds: number): CallReport {
  const verdict = joinHeaderValues(answer.headers[headerNames.verdict])
  return {
    verdict: verdict === 'not-run' || verdict === 'may-have-run' ? verdict : 'done',
    cause: joinHeaderValues(answer.headers[headerNames.cause]),
    status: answer.statusCode,
    milliseconds,
    way: joinHeaderValues(answer.headers[headerNames.triedTargets]),
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
