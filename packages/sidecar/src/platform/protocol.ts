import { findHeader, filterEndToEndHeaders } from 'auburnturn/core/http'
import type { Headers } from '../core/exchange/index.js'
import type { AnswerHead, Protocol, RequestHead, TargetLoad } from '../core/forwarding/index.js'

/** Headers of requests and answers on this platform. */
const names = {
  /** Id of one attempt of a caller; targets repeat it. */
  attempt: 'x-attempt-id',
  /** Milliseconds for which the sender waits from now on. */
  timeout: 'x-deadline-ms',
  /** The one lifetime of a target that may run the request. */
  expected: 'x-expect-instance',
  /** Service on the VM where the request began. */
  caller: 'x-caller-service',
  /** The target's proof that an answer is its own. */
  seal: 'x-response-seal',
  /** The target did not run the request. */
  notRun: 'x-not-executed',
  instance: 'x-instance-id',
  /** Running, waiting, slots, and how long work takes in hundredths. */
  load: 'x-server-load'
} as const

const misdirected = 421

/** Headers that each node sets anew. */
const replaced = new Set<string>([names.timeout, names.expected, names.caller, 'content-length'])

/** How requests and answers are written on this platform. */
export const protocol: Protocol = { readRequest, writeRequest, readAnswer, passAnswer }

function readRequest (headers: Headers): RequestHead {
  const timeout = Number(findHeader(headers, names.timeout) ?? Number.NaN)
  return {
    id: findHeader(headers, names.attempt) ?? '',
    timeoutMs: Number.isFinite(timeout) && timeout >= 0 ? timeout : undefined,
    caller: findHeader(headers, names.caller) ?? '',
    target: findHeader(headers, names.expected) ?? ''
  }
}

function writeRequest (headers: Headers, { timeoutMs, caller, target }: RequestHead): string[] {
  const written = filterEndToEndHeaders(headers).filter(keepPairs(replaced))
  if (timeoutMs !== undefined) written.push(names.timeout, String(Math.max(1, Math.floor(timeoutMs))))
  written.push(names.expected, target, names.caller, caller)
  return written
}

function readAnswer (status: number, headers: Headers): AnswerHead {
  return {
    id: findHeader(headers, names.attempt) ?? '',
    sealed: findHeader(headers, names.seal) !== undefined,
    notRun: findHeader(headers, names.notRun) !== undefined || status === misdirected,
    encoded: findHeader(headers, 'content-encoding') !== undefined,
    leaving: findHeader(headers, 'connection')?.toLowerCase() === 'close',
    targetId: findHeader(headers, names.instance) ?? '',
    load: parseLoad(findHeader(headers, names.load))
  }
}

/** The headers of an answer that go on to the caller; the length is set anew from the whole body. */
function passAnswer (headers: Headers): string[] {
  return filterEndToEndHeaders(headers).filter(keepPairs(new Set(['content-length', names.load])))
}

/** Keeps the names, and their values, that are not in `dropped`. */
function keepPairs (dropped: ReadonlySet<string>): (text: string, index: number, all: readonly string[]) => boolean {
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
