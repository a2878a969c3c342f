import type { Dispatcher } from 'undici'
import { headerNames } from '../call/index.js'
import type { Answer, Body, Call, Outcome, RawHeaders } from '../call/types.js'
import type { Clock, Timeout } from '../clock/index.js'
import { done, mayHaveRun, notRun } from '../verdict/index.js'
import type { MayHaveRunCause, NotRunCause, Verdict } from '../verdict/index.js'
import { decodeHeaders, isFramed } from './answer-head.js'
import type { Connection, Connections, Waiter } from './connections.js'
import { findHeader, forwardHeaders } from './headers.js'
import { describeOutcome, readPeerAnswer } from './peer-answer.js'
import type { PeerAnswer } from './peer-answer.js'

/** Names of undici's errors for a head that can't be an answer. */
const invalidHeads = new Set(['HTTPParserError', 'ResponseContentLengthMismatchError', 'HeadersOverflowError'])

/** How far an attempt has come. From `sent` on, bytes of the request may have been written. */
type Stage = 'waiting' | 'connecting' | 'sent' | 'ended'

/**
 * One attempt at a call on one connection, from the wait for the connection to the last byte of the answer.
 * It implements undici's handler of raw headers and chunks, which copies nothing.
 */
export class Attempt implements Waiter {
  private readonly options: AttemptOptions
  private readonly timeout: () => void = () => { this.expire() }
  private readonly leave = (): void => { this.stop('caller-gone', 'caller-gone') }
  private stage: Stage = 'waiting'
  private connection: Connection | undefined
  private timer: Timeout | undefined
  private abort: (error: Error) => void = doNothing
  private resume: () => void = doNothing
  private stopCause: MayHaveRunCause | undefined
  private status: number | undefined
  private peer: PeerAnswer | undefined
  private fault: MayHaveRunCause | undefined

  private constructor (options: AttemptOptions) {
    this.options = options
  }

  /** Starts the attempt; `options.resolve` is called once, with its outcome. */
  static start (options: AttemptOptions): void {
    const attempt = new Attempt(options)
    const { call, clock, connections } = options
    attempt.timer = clock.timerWheel.after(call.deadline - clock.now(), attempt.timeout)
    call.signal.addEventListener('abort', attempt.leave, { once: true })
    connections.request(attempt)
  }

  start (connection: Connection): void {
    this.stage = 'connecting'
    this.connection = connection
    if (!connection.open) this.boundConnect()
    const { call, body, headers } = this.options
    connection.client.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: headers as string[],
      body: body.empty ? null : (body.whole ?? body.read()) as Dispatcher.DispatchOptions['body'],
      idempotent: false,
      // A kept-alive connection after HEAD is safe only where no body can follow by mistake.
      ...(this.options.trusted && call.method === 'HEAD' ? { reset: false } : {})
    }, this as unknown as Dispatcher.DispatchHandler)
  }

  /** undici calls this right before it writes; to throw here writes nothing. */
  onConnect (abort: (error: Error) => void): void {
    if (this.stage === 'ended') throw new Error('the attempt ended before it was sent')
    if (this.stage === 'connecting') this.restoreDeadline()
    this.stage = 'sent'
    this.abort = abort
  }

  onHeaders (status: number, rawHeaders: Buffer[], resume: () => void, reason: string): boolean {
    const headers = decodeHeaders(rawHeaders)
    const { answer } = this.options
    if (status < 200) {
      answer.inform(status, forwardHeaders(headers))
      return true
    }
    this.resume = resume
    this.status = status
    if (this.options.trusted) this.peer = readPeerAnswer(headers)
    this.fault = this.findFault(status, headers)
    if (this.fault !== undefined) throw new Error(this.fault)
    if (this.peer?.refusal !== undefined) return true
    answer.head(status, reason, this.passHeaders(headers))
    // undici expects the announced length also of an answer that has no body.
    if (status === 304) this.complete([])
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.stage === 'ended' || this.peer?.refusal !== undefined) return true
    const ready = this.options.answer.data(chunk)
    if (ready === undefined) return true
    ready.then(() => { this.resume() }, doNothing)
    return false
  }

  onComplete (rawTrailers: Buffer[] | null): void {
    this.complete(rawTrailers ?? [])
  }

  onError (error: Error): void {
    if (this.stage === 'ended') return
    if (this.options.answer.started) this.options.answer.cut()
    this.finish(this.judge(error))
  }

  /** Only another node can say that its answer was recorded earlier. */
  private passHeaders (headers: RawHeaders): RawHeaders {
    const passed = forwardHeaders(headers)
    if (this.options.trusted && findHeader(headers, headerNames.recorded) === 'yes') passed.push(headerNames.recorded, 'yes')
    return passed
  }

  private complete (rawTrailers: Buffer[]): void {
    if (this.stage === 'ended') return
    const refusal = this.peer?.refusal
    if (refusal === undefined) this.options.answer.end(forwardHeaders(decodeHeaders(rawTrailers)))
    this.finish(refusal ?? done)
  }

  private boundConnect (): void {
    const { call, clock } = this.options
    const { connectMs } = call.profile.timeouts
    if (connectMs >= call.deadline - clock.now()) return
    this.timer?.cancel()
    this.timer = clock.timerWheel.after(connectMs, this.timeout)
  }

  private restoreDeadline (): void {
    const { call, clock } = this.options
    this.timer?.cancel()
    this.timer = clock.timerWheel.after(call.deadline - clock.now(), this.timeout)
  }

  private expire (): void {
    const { connection } = this
    const connecting = this.stage === 'connecting' && connection?.open === false
    const late = this.options.clock.now() >= this.options.call.deadline
    this.stop(late ? 'deadline-expired' : 'connect-failed', 'timeout')
    if (connecting) this.options.connections.discard(connection as Connection).catch(doNothing)
  }

  /** Ends the attempt at once: unsent, nothing ran; sent, its connection is closed. */
  private stop (unsent: NotRunCause, sent: MayHaveRunCause): void {
    if (this.stage === 'ended') return
    if (this.stage === 'waiting') this.options.connections.withdraw(this)
    if (this.stage !== 'sent') {
      this.finish(notRun(unsent))
      return
    }
    this.stopCause = sent
    this.abort(new Error(sent))
  }

  private findFault (status: number, headers: RawHeaders): MayHaveRunCause | undefined {
    if (this.options.trusted && this.peer === undefined) return 'answer-invalid'
    return isFramed(this.options.call.method, status, headers) ? undefined : 'answer-invalid'
  }

  private judge (error: Error): Verdict {
    const { code } = error as NodeJS.ErrnoException
    const { body } = this.options
    if (this.stage !== 'sent') return notRun(body.fault ?? (code === 'UND_ERR_INVALID_ARG' ? 'bad-request' : 'connect-failed'))
    if (this.stopCause !== undefined) return mayHaveRun(this.stopCause)
    if (body.fault !== undefined) return mayHaveRun(body.fault)
    if (this.fault !== undefined) return mayHaveRun(this.fault)
    if (this.status !== undefined) return mayHaveRun('answer-cut')
    return mayHaveRun(invalidHeads.has(error.name) ? 'answer-invalid' : 'connection-lost')
  }

  private finish (verdict: Verdict): void {
    const { connection, status, peer } = this
    const { call, connections, resolve } = this.options
    this.stage = 'ended'
    this.timer?.cancel()
    call.signal.removeEventListener('abort', this.leave)
    // Later, because undici is still at work on the connection here.
    if (connection !== undefined) queueMicrotask(() => { connections.release(connection) })
    resolve(describeOutcome(verdict, status, peer))
  }
}

function doNothing (): void {}

interface AttemptOptions {
  readonly call: Call
  readonly body: Body
  readonly answer: Answer
  /** The complete head to send, without framing. */
  readonly headers: RawHeaders
  readonly connections: Connections
  readonly clock: Clock
  /** Whether the address is another node's, whose word on the verdict counts. */
  readonly trusted: boolean
  readonly resolve: (outcome: Outcome) => void
}
