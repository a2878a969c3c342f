import { countHeader, findHeader, filterEndToEndHeaders } from 'auburnturn/core/http'
import type { Headers } from '../core/exchange/index.js'
import type { AnswerHead, NamedRateLimit, Protocol, RequestHead, TargetLoad, TargetRequestHead } from '../core/requests/index.js'

/** Names of headers of requests and answers on the platform. */
const headerNames = {
  /** Id of one attempt of a caller; targets copy it to the answer. */
  attemptId: 'x-attempt-id',
  /** Time in milliseconds that the sender still waits. */
  timeoutMs: 'x-deadline-ms',
  /** Id of the only incarnation of a target that may run the request. */
  expectedTarget: 'x-expect-instance',
  /** Service on the VM where the request originated. */
  callerService: 'x-caller-service',
  /** Certifies that the target itself made the answer. */
  responseSeal: 'x-response-seal',
  /** Set if the target did not run the request. */
  notExecuted: 'x-not-executed',
  /** Id of the incarnation of the target that answers. */
  instanceId: 'x-instance-id',
  /** Load of the target: requests running, requests waiting, slots, and slowness in hundredths, separated by commas. */
  serverLoad: 'x-server-load',
  /** Requests per second, a decimal number, that the target takes from all nodes together; absent without a limit. */
  serverLimit: 'server-limit',
  /** '1' if the target drains. */
  serverLeaving: 'server-leaving'
} as const

const misdirectedStatus = 421

const decimalPattern = /^\d{1,9}(\.\d{1,9})?$/

/** Request headers that are not forwarded, since each node sets its own. */
const replacedHeaders = new Set<string>([headerNames.timeoutMs, headerNames.expectedTarget, headerNames.callerService, 'content-length'])

/** Answer headers that are not forwarded. */
const unforwardedAnswerHeaders = new Set<string>(['content-length', headerNames.serverLoad])

/** Reads and writes the headers of the platform. */
export const protocol: Protocol = { readRequest, filterRequest, writeRequest, writeHealthCheck, readAnswer, filterAnswer }

function readRequest (headers: Headers): RequestHead {
  const timeoutMs = Number(findHeader(headers, headerNames.timeoutMs) ?? Number.NaN)
  return {
    id: findHeader(headers, headerNames.attemptId) ?? '',
    timeoutMs: Number.isFinite(timeoutMs) && timeoutMs >= 0 ? timeoutMs : undefined
  }
}

function filterRequest (headers: Headers): string[] {
  return dropHeaders(filterEndToEndHeaders(headers), replacedHeaders)
}

function writeRequest (headers: Headers, { timeoutMs, caller, target }: TargetRequestHead): string[] {
  const remainingMs = String(Math.max(1, Math.floor(timeoutMs)))
  return [...headers, headerNames.timeoutMs, remainingMs, headerNames.expectedTarget, target, headerNames.callerService, caller]
}

function writeHealthCheck (id: string): string[] {
  return [headerNames.attemptId, id]
}

function readAnswer (status: number, headers: Headers): AnswerHead {
  return {
    id: countHeader(headers, headerNames.attemptId) === 1 ? findHeader(headers, headerNames.attemptId) ?? '' : '',
    sealed: findHeader(headers, headerNames.responseSeal) !== undefined,
    notRun: findHeader(headers, headerNames.notExecuted) !== undefined || status === misdirectedStatus,
    encoded: findHeader(headers, 'content-encoding') !== undefined,
    draining: findHeader(headers, headerNames.serverLeaving) === '1',
    rateLimit: parseRateLimit(findHeader(headers, headerNames.serverLimit)),
    targetId: findHeader(headers, headerNames.instanceId) ?? '',
    load: parseLoad(findHeader(headers, headerNames.serverLoad))
  }
}

/** The length is omitted since it is set from the received body. */
function filterAnswer (headers: Headers): string[] {
  return dropHeaders(filterEndToEndHeaders(headers), unforwardedAnswerHeaders)
}

/** Removes the headers in `dropped` (lower case names) from alternating header names and values. */
function dropHeaders (headers: Headers, dropped: ReadonlySet<string>): string[] {
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string
    if (!dropped.has(name.toLowerCase())) kept.push(name, headers[index + 1] as string)
  }
  return kept
}

function parseLoad (text: string | undefined): TargetLoad | undefined {
  if (text === undefined) return undefined
  const [running, waiting, slots, slowness] = text.split(',').map(Number)
  if (!isCount(running) || !isCount(waiting) || !isCount(slots) || slots === 0) return undefined
  return { running, waiting, slots, slowness: isCount(slowness) && slowness > 0 ? slowness / 100 : undefined }
}

function parseRateLimit (text: string | undefined): NamedRateLimit {
  if (text === undefined) return 'none'
  return decimalPattern.test(text) ? Number(text) : 'unreadable'
}

function isCount (value: number | undefined): value is number {
  return value !== undefined && Number.isFinite(value) && value >= 0
}
