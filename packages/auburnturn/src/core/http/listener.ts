import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { headerNames } from '../call/index.js'
import type { Outcome, RawHeaders } from '../call/types.js'
import { Fault } from '../errors/index.js'
import type { Logger } from '../logger/index.js'
import type { Part } from '../supervisor/types.js'
import { mayHaveRun, notRun } from '../verdict/index.js'
import { createProblem } from './problem.js'
import type { Problem } from './problem.js'
import { RequestBody } from './request-body.js'
import { ResponseAnswer } from './response-answer.js'
import type { Identify, Serve } from './types.js'

/** Accepts calls on one address and hands each to `serve`. */
export class Listener implements Part {
  private readonly server: Server
  private readonly options: ListenerOptions
  private inFlight = 0

  private constructor (options: ListenerOptions) {
    this.options = options
    this.server = createServer({ maxHeaderSize: options.headerBytes, keepAliveTimeout: 60_000 })
    this.server.maxConnections = options.connections
    this.server.on('request', (request, response) => { this.accept(request, response) })
  }

  /** Resolves when the address is bound; rejects with `address-in-use`. */
  static async create (options: ListenerOptions): Promise<Listener> {
    const listener = new Listener(options)
    await listener.listen()
    return listener
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Stops accepting, and resolves when every call in flight has ended. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    this.server.closeIdleConnections()
    await closed
  }

  dump (): unknown {
    return { port: this.port, inFlight: this.inFlight }
  }

  private async listen (): Promise<void> {
    const { ip, port } = this.options
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', error => { reject(Fault.create('address-in-use', `${ip}:${port}`, error)) })
      this.server.listen(port, ip, resolve)
    })
  }

  private accept (request: IncomingMessage, response: ServerResponse): void {
    this.inFlight++
    this.handle(request, response)
      .catch(error => {
        this.options.logger.error('call-failed', { error: String(error) })
        response.destroy()
      })
      .finally(() => { this.inFlight-- })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const gone = new AbortController()
    response.on('close', () => { if (!response.writableFinished) gone.abort() })
    response.on('error', () => {})
    const identified = this.options.identify(request, gone.signal)
    if (identified.kind === 'refused') {
      const problem = createProblem(notRun(identified.cause), identified.detail)
      writeProblem(response, { ...problem, status: identified.status })
      return
    }
    const { call } = identified
    const answer = ResponseAnswer.create(response, this.options.answerHeaders)
    const body = RequestBody.create(request, call.profile.body.replayBytes)
    const outcome = await this.options.serve(call, body, answer)
    if (!answer.started) this.refuse(response, outcome)
  }

  private refuse (response: ServerResponse, outcome: Outcome): void {
    const verdict = outcome.verdict.kind === 'done' ? mayHaveRun('connection-lost') : outcome.verdict
    const problem = createProblem(verdict)
    problem.headers.push(...this.options.answerHeaders())
    if (outcome.successor !== undefined) problem.headers.push(headerNames.ticket, outcome.successor)
    writeProblem(response, problem)
  }
}

function writeProblem (response: ServerResponse, problem: Problem): void {
  response.writeHead(problem.status, problem.headers)
  response.end(problem.body)
}

interface ListenerOptions {
  readonly ip: string
  readonly port: number
  readonly connections: number
  readonly headerBytes: number
  /** Headers added to every answer and refusal, asked when its head is written. */
  readonly answerHeaders: () => RawHeaders
  readonly identify: Identify
  readonly serve: Serve
  readonly logger: Logger
}
