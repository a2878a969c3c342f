import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock } from '../clock/index.js'
import { done, mayHaveRun, notRun } from '../verdict/index.js'
import type { Verdict } from '../verdict/index.js'
import { findHeader, forwardHeaders } from './headers.js'
import { parseLoad } from './load.js'

/** Errors of undici that are raised before a connection exists, so that nothing was sent. */
const beforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends calls to one address over kept-alive HTTP/1.1 connections. */
export class Exchange {
  private readonly pool: Pool
  private readonly clock: Clock

  private constructor (pool: Pool, clock: Clock) {
    this.pool = pool
    this.clock = clock
  }

  /** `origin` is such as `http://127.0.0.1:8080`. */
  static create ({ origin, connections, connectMs, clock }: ExchangeOptions): Exchange {
    const pool = new Pool(origin, { connections, connectTimeout: connectMs, headersTimeout: 0, bodyTimeout: 0, pipelining: 1 })
    return new Exchange(pool, clock)
  }

  /** One attempt: `extra` headers are added to the call's own. */
  async send (call: Call, body: Body, answer: Answer, extra: RawHeaders = []): Promise<Outcome> {
    const remaining = call.deadline - this.clock.now()
    if (remaining <= 0) return { verdict: notRun('deadline-expired') }
    const abort = new AbortController()
    const cancel = this.clock.after(remaining, () => { abort.abort('timeout') })
    const leave = (): void => { abort.abort('caller-gone') }
    call.signal.addEventListener('abort', leave, { once: true })
    try {
      return await this.dispatch(call, body, answer, extra, abort.signal)
    } finally {
      cancel()
      call.signal.removeEventListener('abort', leave)
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private async dispatch (call: Call, body: Body, answer: Answer, extra: RawHeaders, signal: AbortSignal): Promise<Outcome> {
    return await new Promise<Outcome>(resolve => {
      const handler = new AttemptHandler(answer, signal, resolve)
      this.pool.dispatch({
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: [...forwardHeaders(call.headers, name => name === 'expect'), ...extra],
        body: body.empty ? null : body.read() as unknown as Dispatcher.DispatchOptions['body']
      }, handler as Dispatcher.DispatchHandler)
    })
  }
}

interface ExchangeOptions {
  readonly origin: string
  readonly connections: number
  readonly connectMs: number
  readonly clock: Clock
}

/** Follows one attempt from its first byte sent to its last byte received. */
class AttemptHandler {
  private readonly answer: Answer
  private readonly signal: AbortSignal
  private readonly resolve: (outcome: Outcome) => void
  private sent = false
  private status: number | undefined
  private refused: Verdict | undefined
  private headers: RawHeaders = []

  constructor (answer: Answer, signal: AbortSignal, resolve: (outcome: Outcome) => void) {
    this.answer = answer
    this.signal = signal
    this.resolve = resolve
  }

  onConnect (abort: (error: Error) => void): void {
    if (this.signal.aborted) {
      abort(new Error('aborted'))
      return
    }
    this.sent = true
    this.signal.addEventListener('abort', () => { abort(new Error('aborted')) }, { once: true })
  }

  onHeaders (status: number, rawHeaders: Buffer[], resume: () => void, reason: string): boolean {
    const headers = rawHeaders.map(part => part.toString('latin1'))
    if (status < 200) {
      this.answer.inform(status, headers)
      return true
    }
    this.resume = resume
    this.status = status
    this.headers = headers
    this.refused = readRefusal(headers)
    if (this.refused === undefined) this.answer.head(status, reason, forwardHeaders(headers, isInternal))
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.refused !== undefined) return true
    const ready = this.answer.data(chunk)
    if (ready === undefined) return true
    ready.then(() => { this.resume() }, () => {})
    return false
  }

  onComplete (rawTrailers: Buffer[] | null): void {
    if (this.refused === undefined) this.answer.end((rawTrailers ?? []).map(part => part.toString('latin1')))
    this.finish(this.refused ?? done)
  }

  onError (error: Error): void {
    if (this.answer.started) this.answer.cut()
    this.finish(this.judge(error))
  }

  private resume: () => void = () => {}

  private judge (error: Error): Verdict {
    const code = (error as NodeJS.ErrnoException).code ?? ''
    if (!this.sent) return notRun(beforeSending.has(code) ? 'connect-failed' : 'no-target')
    if (this.signal.aborted) return mayHaveRun(this.signal.reason === 'timeout' ? 'timeout' : 'caller-gone')
    return mayHaveRun(this.status === undefined ? 'connection-lost' : 'answer-cut')
  }

  private finish (verdict: Verdict): void {
    const load = parseLoad(findHeader(this.headers, headerNames.load))
    const incarnation = findHeader(this.headers, headerNames.incarnation)
    const successor = this.refused === undefined ? undefined : findHeader(this.headers, headerNames.ticket)
    this.resolve({
      verdict,
      ...(this.status === undefined ? {} : { status: this.status }),
      ...(load === undefined ? {} : { load }),
      ...(incarnation === undefined ? {} : { incarnation }),
      ...(successor === undefined ? {} : { successor })
    })
  }
}

function isInternal (name: string): boolean {
  return name === headerNames.load || name === headerNames.incarnation
}

/** A refusal by the other node's admission; an upstream's own answer has no verdict header. */
function readRefusal (headers: RawHeaders): Verdict | undefined {
  const kind = findHeader(headers, headerNames.verdict)
  const cause = findHeader(headers, headerNames.cause)
  if (kind === 'not-run') return { kind, cause: (cause ?? 'overloaded') as never }
  if (kind === 'may-have-run') return { kind, cause: (cause ?? 'connection-lost') as never }
  return undefined
}
