import type { Dispatcher } from 'undici'
import { PacedSource } from '../bodies/index.js'
import type { ReadPace } from '../bodies/index.js'
import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock, Timeout } from '../clock/index.js'
import { done, mayHaveRun, notRun } from '../verdict/index.js'
import type { MayHaveRunCause, NotRunCause, Verdict } from '../verdict/index.js'
import { decodeHeaders, isFramed } from './answer-head.js'
import { maxInterimAnswers } from './constants.js'
import type { Connection, ConnectionPool, ConnectionRequest } from './connection-pool.js'
import { filterEndToEndHeaders, findHeader } from './headers.js'
import { createOutcome, parsePeerAnswer } from './peer-answer.js'
import type { PeerAnswer } from './peer-answer.js'

/** Names of the undici errors for an answer head that is not valid. */
const invalidHeadErrors = new Set(['HTTPParserError', 'ResponseContentLengthMismatchError', 'HeadersOverflowError'])

/** Progress of an attempt. From `sent` on, bytes of the request may have been written. */
type AttemptStage = 'waiting' | 'connecting' | 'sent' | 'ended'

/**
 * One attempt of a call on one connection, from the wait for the connection to the last byte of the answer.
 * It implements undici's dispatch handler for raw headers and chunks, which makes no copies.
 */
export class Attempt implements ConnectionRequest {
  private readonly options: AttemptOptions
  private readonly onTimeout: () => void = () => { this.handleTimeout() }
  private readonly onCallerGone = (): void => { this.stop('caller-gone', 'caller-gone') }
  private readonly source: PacedSource
  /** Whether the caller can't take more of the answer yet. */
  private callerBusy = false
  private stage: AttemptStage = 'waiting'
  private connection: Connection | undefined
  private timer: Timeout | undefined
  private abort: (error: Error) => void = doNothing
  private resume: () => void = doNothing
  private abortCause: MayHaveRunCause | undefined
  private interimAnswers = 0
  private status: number | undefined
  private peerAnswer: PeerAnswer | undefined
  private answerFault: MayHaveRunCause | undefined

  private constructor (options: AttemptOptions) {
    this.options = options
    // The connection pauses because `onData` says so.
    this.source = PacedSource.create({ source: { pause: doNothing, resume: () => { this.resumeIfReady() } }, pace: options.pace })
  }

  /** Starts an attempt; `options.resolve` is called once, with its outcome. */
  static start (options: AttemptOptions): void {
    const attempt = new Attempt(options)
    const { call, clock, pool } = options
    attempt.timer = clock.timerWheel.after(call.deadline - clock.now(), attempt.onTimeout)
    call.signal.addEventListener('abort', attempt.onCallerGone, { once: true })
    pool.acquire(attempt)
  }

  useConnection (connection: Connection): void {
    this.stage = 'connecting'
    this.connection = connection
    if (!connection.open) this.startConnectTimer()
    const { call, body, headers } = this.options
    connection.client.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: headers as string[],
      body: body.empty ? null : (body.bufferedBytes ?? body.read()) as Dispatcher.DispatchOptions['body'],
      idempotent: false,
      // undici closes the connection after HEAD in case a body follows by mistake; another node never sends one.
      ...(this.options.isPeer && call.method === 'HEAD' ? { reset: false } : {})
    }, this as unknown as Dispatcher.DispatchHandler)
  }

  /** Called by undici right before it writes the request; if this throws, nothing is written. */
  onConnect (abort: (error: Error) => void): void {
    if (this.stage === 'ended') throw new Error('the attempt ended before it was sent')
    if (this.stage === 'connecting') this.startDeadlineTimer()
    this.stage = 'sent'
    this.abort = abort
  }

  onHeaders (status: number, rawHeaders: Buffer[], resume: () => void, reason: string): boolean {
    const headers = decodeHeaders(rawHeaders)
    const { answer } = this.options
    if (status < 200) {
      if (++this.interimAnswers > maxInterimAnswers) this.rejectAnswer()
      answer.writeInformational(status, filterEndToEndHeaders(headers))
      return true
    }
    this.resume = resume
    this.status = status
    if (this.options.isPeer) this.peerAnswer = parsePeerAnswer(headers)
    this.answerFault = this.findAnswerFault(status, headers)
    if (this.answerFault !== undefined) this.rejectAnswer(this.answerFault)
    if (this.peerAnswer?.refusal !== undefined) return true
    answer.writeHead(status, reason, this.selectCallerHeaders(headers))
    // undici expects a body of the declared length even for a 304 answer, which has none, so the answer is completed here.
    if (status === 304) this.complete([])
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.stage === 'ended') return true
    this.source.count(chunk.length)
    const ready = this.peerAnswer?.refusal === undefined ? this.options.answer.writeData(chunk) : undefined
    if (ready !== undefined) this.awaitCaller(ready)
    return !this.callerBusy && !this.source.paused
  }

  onComplete (rawTrailers: Buffer[] | null): void {
    this.complete(rawTrailers ?? [])
  }

  onError (error: Error): void {
    if (this.stage === 'ended') return
    if (this.options.answer.started) this.options.answer.cut()
    this.finish(this.classifyError(error))
  }

  /** Makes undici end the connection of an answer that can't be used. */
  private rejectAnswer (fault: MayHaveRunCause = 'answer-invalid'): never {
    this.answerFault = fault
    throw new Error(fault)
  }

  private awaitCaller (ready: Promise<void>): void {
    this.callerBusy = true
    ready.then(() => {
      this.callerBusy = false
      this.resumeIfReady()
    }, doNothing)
  }

  private resumeIfReady (): void {
    if (!this.callerBusy && !this.source.paused) this.resume()
  }

  /** The end-to-end headers of the answer, with the mark of a recorded answer; only another node may set that mark. */
  private selectCallerHeaders (headers: RawHeaders): RawHeaders {
    const selected = filterEndToEndHeaders(headers)
    if (this.options.isPeer && findHeader(headers, headerNames.recorded) === 'yes') selected.push(headerNames.recorded, 'yes')
    return selected
  }

  private complete (rawTrailers: Buffer[]): void {
    if (this.stage === 'ended') return
    const refusal = this.peerAnswer?.refusal
    if (refusal === undefined) this.options.answer.end(filterEndToEndHeaders(decodeHeaders(rawTrailers)))
    this.finish(refusal ?? done)
  }

  /** Replaces the deadline timer by a connect timer when `connectMs` ends before the deadline. */
  private startConnectTimer (): void {
    const { call, clock } = this.options
    const { connectMs } = call.profile.timeouts
    if (connectMs >= call.deadline - clock.now()) return
    this.timer?.cancel()
    this.timer = clock.timerWheel.after(connectMs, this.onTimeout)
  }

  private startDeadlineTimer (): void {
    const { call, clock } = this.options
    this.timer?.cancel()
    this.timer = clock.timerWheel.after(call.deadline - clock.now(), this.onTimeout)
  }

  private handleTimeout (): void {
    const { connection } = this
    const connecting = this.stage === 'connecting' && connection?.open === false
    const pastDeadline = this.options.clock.now() >= this.options.call.deadline
    this.stop(pastDeadline ? 'deadline-expired' : 'connect-failed', 'timeout')
    if (connecting) this.options.pool.discard(connection as Connection).catch(doNothing)
  }

  /** Ends the attempt immediately: as not run if nothing was sent, otherwise by closing its connection. */
  private stop (notRunCause: NotRunCause, mayHaveRunCause: MayHaveRunCause): void {
    if (this.stage === 'ended') return
    if (this.stage === 'waiting') this.options.pool.cancelRequest(this)
    if (this.stage !== 'sent') {
      this.finish(notRun(notRunCause))
      return
    }
    this.abortCause = mayHaveRunCause
    this.abort(new Error(mayHaveRunCause))
  }

  private findAnswerFault (status: number, headers: RawHeaders): MayHaveRunCause | undefined {
    if (this.options.isPeer && (this.peerAnswer === undefined || !this.answersThisSend(headers))) return 'answer-invalid'
    return isFramed(this.options.call.method, status, headers) ? undefined : 'answer-invalid'
  }

  /** Whether the answer of another node names this send, and not an earlier one on the connection. */
  private answersThisSend (headers: RawHeaders): boolean {
    return findHeader(headers, headerNames.send) === this.options.sendNumber
  }

  private classifyError (error: Error): Verdict {
    const { code } = error as NodeJS.ErrnoException
    const { body } = this.options
    if (this.stage !== 'sent') return notRun(body.fault ?? (code === 'UND_ERR_INVALID_ARG' ? 'bad-request' : 'connect-failed'))
    if (this.abortCause !== undefined) return mayHaveRun(this.abortCause)
    if (body.fault !== undefined) return mayHaveRun(body.fault)
    if (this.answerFault !== undefined) return mayHaveRun(this.answerFault)
    if (this.status !== undefined) return mayHaveRun('answer-cut')
    return mayHaveRun(invalidHeadErrors.has(error.name) ? 'answer-invalid' : 'connection-lost')
  }

  private finish (verdict: Verdict): void {
    const { connection, status, peerAnswer } = this
    const { call, pool, resolve } = this.options
    this.stage = 'ended'
    this.timer?.cancel()
    this.source.close()
    call.signal.removeEventListener('abort', this.onCallerGone)
    // Released in a microtask: undici is still using the connection while it calls this handler.
    if (connection !== undefined) queueMicrotask(() => { pool.release(connection) })
    resolve(createOutcome(verdict, status, peerAnswer))
  }
}

function doNothing (): void {}

interface AttemptOptions {
  readonly call: Call
  readonly body: Body
  readonly answer: Answer
  /** All request headers to send, without framing. */
  readonly headers: RawHeaders
  readonly pool: ConnectionPool
  readonly clock: Clock
  /** Limits the processor time of answers in very small pieces. */
  readonly pace: ReadPace
  /** Whether the address belongs to another node, so that the verdict in its answer is accepted. */
  readonly isPeer: boolean
  /** What the answer of another node must repeat; undefined if the address belongs to an upstream. */
  readonly sendNumber: string | undefined
  readonly resolve: (outcome: Outcome) => void
}
