import { findHeader, forwardHeaders } from 'auburnturn/core/http'
import type { Headers } from '../core/exchange/index.js'
import type { AnswerHead, Protocol, RequestHead, TargetLoad } from '../core/forwarding/index.js'

/** Headers of requests and answers on this platform. */
const headerNames = {
  /** Id of one attempt of a caller; targets repeat it. */
  attemptId: 'x-attempt-id',
  /** Milliseconds for which the sender waits from now on. */
  timeoutMs: 'x-deadline-ms',
  /** The one lifetime of a target that may run the request. */
  expectedTarget: 'x-expect-instance',
  /** Service on the VM where the request began. */
  callerService: 'x-caller-service',
  /** The target's proof that an answer is its own. */
  responseSeal: 'x-response-seal',
  /** The target did not run the request. */
  notExecuted: 'x-not-executed',
  instanceId: 'x-instance-id',
  /** Running, waiting, slots, and how long work takes in hundredths. */
  serverLoad: 'x-server-load'
} as const

const misdirectedStatus = 421

/** Headers that each node sets anew. */
const replacedHeaders = new Set<string>([headerNames.timeoutMs, headerNames.expectedTarget, headerNames.callerService, 'content-length'])

/** How requests and answers are written on this platform. */
export const protocol: Protocol = { readRequest, writeRequest, readAnswer, passAnswer }

function readRequest (headers: Headers): RequestHead {
  const timeout = Number(findHeader(headers, headerNames.timeoutMs) ?? Number.NaN)
  return {
    id: findHeader(headers, headerNames.attemptId) ?? '',
    timeoutMs: Number.isFinite(timeout) && timeout >= 0 ? timeout : undefined,
    caller: findHeader(headers, headerNames.callerService) ?? '',
    target: findHeader(headers, headerNames.expectedTarget) ?? ''
  }
}

function writeRequest (headers: Headers, { timeoutMs, caller, target }: RequestHead): string[] {
  const written = forwardHeaders(headers).filter(createPairFilter(replacedHeaders))
  if (timeoutMs !== undefined) written.push(headerNames.timeoutMs, String(Math.max(1, Math.floor(timeoutMs))))
  written.push(headerNames.expectedTarget, target, headerNames.callerService, caller)
  return written
}

function readAnswer (status: number, headers: Headers): AnswerHead {
  return {
    id: findHeader(headers, headerNames.attemptId) ?? '',
    sealed: findHeader(headers, headerNames.responseSeal) !== undefined,
    notRun: findHeader(headers, headerNames.notExecuted) !== undefined || status === misdirectedStatus,
    encoded: findHeader(headers, 'content-encoding') !== undefined,
    leaving: findHeader(headers, 'connection')?.toLowerCase() === 'close',
    targetId: findHeader(headers, headerNames.instanceId) ?? '',
    load: parseLoad(findHeader(headers, headerNames.serverLoad))
  }
}

/** The headers of an answer that go on to the caller; the length is set anew from the whole body. */
function passAnswer (headers: Headers): string[] {
  return forwardHeaders(headers).filter(createPairFilter(new Set(['content-length', headerNames.serverLoad])))
}

/** Keeps the names, and their values, that are not in `dropped`. */
function createPairFilter (dropped: ReadonlySet<string>): (text: string, index: number, all: readonly string[]) => boolean {
  return (_text, index, all) => !dropped.has((all[index - index % 2] as string).toLowerCase())
}

function parseLoad (text: string | undefined): TargetLoad | undefined {
  if (text === undefined) return undefined
  const [running, waiting, slots, slowness] = text.split(',').map(Number)
  if (!isCount(running) || !isCount(waiting) || !isCount(slots) || slots === 0) return undefined
  return { running, waiting, slots, slowness: isCount(slowness) && slowness > 0 ? slowness / 100 : undefined }
}

function isCount (value: number | undefined): value is number {
  return value !== undefined && Number.isFinite(value) && value >= 0
}
