import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { ReadPace } from '../bodies/index.js'
import type { Call, Outcome, RawHeaders } from '../call/types.js'
import { Cancellation } from '../clock/index.js'
import type { Clock } from '../clock/index.js'
import { Fault } from '../errors/index.js'
import type { Logger } from '../logger/index.js'
import type { Part } from '../supervisor/types.js'
import { mayHaveRun, notRun } from '../verdict/index.js'
import { answerAndClose, createClientErrorProblem } from './client-error.js'
import { ConnectionCancellations } from './connection-cancellations.js'
import { callerKeepAliveMs, headTimeoutCheckIntervalMs, requestHeadTimeoutMs } from './constants.js'
import { InFlightCalls } from './in-flight-calls.js'
import type { PendingInput } from './pending-input.js'
import { createProblem } from './problem.js'
import type { Problem } from './problem.js'
import { discardRemainingBody } from './remaining-body.js'
import { RequestBody } from './request-body.js'
import { checkRequestHead } from './request-head.js'
import { ResponseAnswer } from './response-answer.js'
import type { CallHandler, CallIdentifier, HeadRefusal } from './types.js'

/** Accepts calls on one address and passes each to `handleCall`. */
export class Listener implements Part {
  private readonly server: Server
  private readonly options: ListenerOptions
  private readonly inFlightCalls = InFlightCalls.create()
  private readonly connections = ConnectionCancellations.create()
  private readonly pace: ReadPace
  /** Connections on which no request has arrived yet; Node.js does not count them as idle. */
  private readonly unusedSockets = new Set<Socket>()
  private inFlightCount = 0
  private droppedCount = 0
  private closing = false

  private constructor (options: ListenerOptions) {
    this.options = options
    this.pace = ReadPace.create(options)
    this.server = createServer({
      maxHeaderSize: options.maxHeaderBytes,
      keepAliveTimeout: callerKeepAliveMs,
      headersTimeout: requestHeadTimeoutMs,
      connectionsCheckingInterval: headTimeoutCheckIntervalMs,
      // Bodies have their own timeouts, from the profile.
      requestTimeout: 0,
      // A missing Host is refused in `checkRequestHead`, with a reason.
      requireHostHeader: false
    })
    this.server.maxConnections = options.maxConnections
    // The head is limited in bytes; a limit on the number of headers would silently drop the excess.
    this.server.maxHeadersCount = 0
    this.server.on('request', (request, response) => { this.handleRequest(request, response, false) })
    this.server.on('checkContinue', (request, response) => { this.handleRequest(request, response, true) })
    this.server.on('checkExpectation', (request, response) => { this.refuseExpectation(request, response) })
    this.server.on('connect', (_request, socket) => { this.refuseConnect(socket) })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.handleClientError(error, socket) })
    this.server.on('connection', socket => { this.trackUnusedSocket(socket) })
    this.server.on('drop', () => { this.droppedCount++ })
  }

  /** Resolves when the address is bound; rejects with the fault `address-in-use`. */
  static async create (options: ListenerOptions): Promise<Listener> {
    const listener = new Listener(options)
    await listener.listen()
    return listener
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Stops accepting calls and resolves when all calls in flight have ended. */
  async close (): Promise<void> {
    this.closing = true
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    this.server.closeIdleConnections()
    for (const socket of this.unusedSockets) if (socket.bytesRead === 0) socket.destroy()
    await closed
  }

  dump (): unknown {
    return { port: this.server.listening ? this.port : 0, inFlight: this.inFlightCount, connections: this.inFlightCalls.connectionCount, droppedConnections: this.droppedCount }
  }

  private async listen (): Promise<void> {
    const { ip, port } = this.options
    await new Promise<void>((resolve, reject) => {
      // Not removed after binding: later errors of accepting a connection would otherwise be uncaught.
      this.server.on('error', error => {
        if (this.server.listening) this.options.logger.warn('accept-failed', { error: String(error) })
        reject(Fault.create('address-in-use', `${ip}:${port}`, error))
      })
      this.server.listen(port, ip, resolve)
    })
  }

  private trackUnusedSocket (socket: Socket): void {
    this.unusedSockets.add(socket)
    socket.once('close', () => { this.unusedSockets.delete(socket) })
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
    this.inFlightCount++
    this.unusedSockets.delete(request.socket)
    response.on('error', () => {})
    response.on('close', () => { this.closeIdleIfClosing() })
    const cancellation = Cancellation.create()
    this.connections.add(request.socket, cancellation)
    this.processRequest(request, response, cancellation, expectsContinue)
      .catch(error => {
        this.options.logger.error('call-failed', { error: String(error) })
        response.destroy()
      })
      .finally(() => {
        this.connections.remove(request.socket, cancellation)
        this.finishRequest(request)
      })
  }

  private async processRequest (request: IncomingMessage, response: ServerResponse, cancellation: Cancellation, expectsContinue: boolean): Promise<void> {
    const identified = checkRequestHead(request) ?? this.options.identifyCall(request, cancellation)
    if (identified.kind === 'refused') {
      this.refuseHead(request, response, identified)
      return
    }
    const { call } = identified
    const body = this.createBody(request, response, call, expectsContinue)
    this.inFlightCalls.add(request.socket, body)
    try {
      await this.serveCall(call, body, request, response, expectsContinue)
    } finally {
      body.close()
      if (this.inFlightCalls.remove(request.socket, body)) request.socket.destroySoon()
    }
  }

  private async serveCall (call: Call, body: RequestBody, request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): Promise<void> {
    const { clock, pendingInput, handleCall } = this.options
    const { maxBytes, replayBytes } = call.profile.body
    if (body.contentLength !== undefined && body.contentLength > maxBytes) {
      this.refuseBody(call, request, response, { kind: 'refused', cause: 'body-too-large', detail: `The longest body is ${maxBytes} bytes.` })
      return
    }
    const fitsReplay = body.contentLength !== undefined && body.contentLength <= replayBytes
    if (fitsReplay && !body.empty && !expectsContinue) await body.collect(call.deadline - clock.now())
    if (body.fault !== undefined) {
      this.refuseBody(call, request, response, { kind: 'refused', cause: body.fault, detail: 'The request body did not arrive whole.' })
      return
    }
    // The call is refused further on if its caller has left.
    await pendingInput.read()
    const answer = ResponseAnswer.create(response, { clock, callerIdleMs: call.profile.timeouts.callerIdleMs, createExtraHeaders: () => this.createAnswerHeaders(request) })
    const outcome = await handleCall(call, body, answer)
    if (answer.started) return
    const verdict = outcome.verdict.kind === 'done' ? mayHaveRun('connection-lost') : outcome.verdict
    const problem = createProblem(verdict)
    problem.headers.push(...this.options.refusalHeaders(outcome))
    this.writeProblem(request, response, problem)
  }

  private createBody (request: IncomingMessage, response: ServerResponse, call: Call, expectsContinue: boolean): RequestBody {
    const { maxBytes, replayBytes } = call.profile.body
    return RequestBody.create(request, {
      clock: this.options.clock,
      pace: this.pace,
      maxBytes,
      replayBytes,
      callerIdleMs: call.profile.timeouts.callerIdleMs,
      beforeRead: () => { if (expectsContinue && !response.headersSent) response.writeContinue() }
    })
  }

  private createAnswerHeaders ({ rawHeaders }: IncomingMessage): RawHeaders {
    const { answerHeaders, repeatedHeaders } = this.options
    const headers = [...answerHeaders(), ...repeatedHeaders(rawHeaders)]
    return this.closing ? [...headers, 'connection', 'close'] : headers
  }

  private refuseHead (request: IncomingMessage, response: ServerResponse, { cause, detail, status }: HeadRefusal): void {
    const problem = createProblem(notRun(cause), { detail, ...(status === undefined ? {} : { status }) })
    // What follows a head that is not valid may not begin where it seems to.
    this.writeProblem(request, response, problem, cause === 'bad-request')
  }

  /**
   * Refuses a call for its body. An earlier send with the same ticket may have run;
   * only the target of the ticket can rule that out.
   */
  private refuseBody (call: Call, request: IncomingMessage, response: ServerResponse, refusal: HeadRefusal): void {
    if (call.ticket === undefined) this.refuseHead(request, response, refusal)
    else this.writeProblem(request, response, createProblem(mayHaveRun('ticket-lost'), { detail: refusal.detail }))
  }

  private refuseExpectation (request: IncomingMessage, response: ServerResponse): void {
    this.inFlightCount++
    this.refuseHead(request, response, { kind: 'refused', cause: 'bad-request', status: 417, detail: 'The only expectation that is met is 100-continue.' })
    this.finishRequest(request)
  }

  private refuseConnect (socket: Duplex): void {
    this.inFlightCalls.markUnreadable(socket)
    answerAndClose(socket, createProblem(notRun('bad-request'), { status: 501, detail: 'CONNECT is not offered.' }), this.options.clock)
  }

  private writeProblem (request: IncomingMessage, response: ServerResponse, problem: Problem, endsConnection = false): void {
    // A caller that expects 100 Continue may or may not send its body now, so the connection can't be reused.
    const mustClose = endsConnection || this.closing || this.inFlightCalls.isUnreadable(request.socket) || (request.headers.expect !== undefined && !request.complete)
    if (mustClose) problem.headers.push('connection', 'close')
    problem.headers.push(...this.options.repeatedHeaders(request.rawHeaders))
    response.writeHead(problem.status, problem.headers)
    response.end(problem.body)
  }

  private finishRequest (request: IncomingMessage): void {
    this.inFlightCount--
    discardRemainingBody(request, this.pace)
  }

  /** Closes connections as they become idle while the listener is closing. */
  private closeIdleIfClosing (): void {
    if (this.closing) setImmediate(() => { this.server.closeIdleConnections() })
  }

  /** Fails the calls in flight on a connection with unreadable input; without any, writes the refusal to the connection. */
  private handleClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    if (this.inFlightCalls.isUnreadable(socket)) return
    const bodies = this.inFlightCalls.markUnreadable(socket)
    const problem = createClientErrorProblem(error.code)
    if (problem === undefined || !socket.writable) socket.destroy()
    else if (bodies === undefined) answerAndClose(socket, problem, this.options.clock)
    else for (const body of bodies) body.fail('bad-request')
  }
}

interface ListenerOptions {
  readonly ip: string
  readonly port: number
  readonly maxConnections: number
  readonly maxHeaderBytes: number
  readonly clock: Clock
  readonly pendingInput: PendingInput
  /** Returns the headers to add to an answer of an upstream; called when its head is written. */
  readonly answerHeaders: () => RawHeaders
  /** Returns the headers to add to a refusal of a call. */
  readonly refusalHeaders: (outcome: Outcome) => RawHeaders
  /** Returns the headers of a request that its answer or refusal repeats. */
  readonly repeatedHeaders: (requestHeaders: RawHeaders) => RawHeaders
  readonly identifyCall: CallIdentifier
  readonly handleCall: CallHandler
  readonly logger: Logger
}
