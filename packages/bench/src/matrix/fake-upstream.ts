import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryRecorder } from './history-recorder.js'

/** Duration of an execution unless the request has a header `x-work-ms`, in milliseconds. */
const defaultWorkMs = 4

/** Pause after each part of a response, in milliseconds. */
const partPauseMs = 3

/** Points of an execution at which a fault can be injected. */
export type ExecutionPoint = 'running' | 'answer-head' | 'answer-body'

/** Faults of an upstream, which apply to requests it has not finished and to later ones. */
export interface InjectedFaults {
  /** Delay before a request is executed, in milliseconds. */
  startDelayMs: number
  /** Delay before each part of a response, in milliseconds. */
  answerDelayMs: number
  /** Responds with status 503. */
  failsFast: boolean
  /** Closes the connection before the last part of the response. */
  truncatesAnswers: boolean
  /** Name of a call that crashes the upstream as soon as its execution starts. */
  crashingCall: string | undefined
}

/** Called when the execution of a request reaches a point; `requestName` is the value of its header `x-sending`. */
export type ExecutionPointListener = (point: ExecutionPoint, requestName: string, target: string) => void

/** Fake of a customer's service on one VM; records its executions. */
export class FakeUpstream {
  readonly injectedFaults: InjectedFaults = { startDelayMs: 0, answerDelayMs: 0, failsFast: false, truncatesAnswers: false, crashingCall: undefined }
  private readonly server: Server
  private readonly target: string
  private readonly recorder: HistoryRecorder
  private readonly listener: ExecutionPointListener
  private executionCount = 0

  private constructor (target: string, recorder: HistoryRecorder, listener: ExecutionPointListener) {
    this.target = target
    this.recorder = recorder
    this.listener = listener
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.handleRequest(request, response).catch(() => { response.destroy() })
    })
  }

  static async create (ip: string, target: string, recorder: HistoryRecorder, listener: ExecutionPointListener): Promise<FakeUpstream> {
    const upstream = new FakeUpstream(target, recorder, listener)
    await new Promise<void>(resolve => { upstream.server.listen(0, ip, resolve) })
    return upstream
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Closes all connections, as when the process crashes. */
  crash (): void {
    this.recorder.add({ kind: 'target-failed', target: this.target })
    this.server.closeAllConnections()
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestName = String(request.headers['x-sending'] ?? '')
    const call = String(request.headers['x-call'] ?? '')
    const bytes = await readBody(request)
    if (this.injectedFaults.startDelayMs > 0) await sleep(this.injectedFaults.startDelayMs)
    const execution = `${this.target}#${this.executionCount++}`
    this.recorder.add({ kind: 'execution-started', execution, sending: requestName, call, target: this.target })
    this.recordEnd(execution, `${execution} ran ${call} with ${bytes} bytes`, response)
    this.listener('running', requestName, this.target)
    if (this.injectedFaults.crashingCall === call) this.crash()
    await sleep(Number(request.headers['x-work-ms'] ?? defaultWorkMs))
    await this.respond(response, execution, requestName, `${execution} ran ${call} with ${bytes} bytes`)
  }

  private async respond (response: ServerResponse, execution: string, requestName: string, content: string): Promise<void> {
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    // Every other response has no content-length, so that only the last chunk shows that it is complete.
    const length = this.executionCount % 2 === 0 ? {} : { 'content-length': content.length }
    response.writeHead(this.injectedFaults.failsFast ? 503 : 201, { 'x-execution': execution, ...length })
    response.flushHeaders()
    await sleep(partPauseMs)
    this.listener('answer-head', requestName, this.target)
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    response.write(content.slice(0, 10))
    await sleep(partPauseMs)
    this.listener('answer-body', requestName, this.target)
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    if (this.injectedFaults.truncatesAnswers) response.destroy()
    else response.end(content.slice(10))
  }

  private recordEnd (execution: string, content: string, response: ServerResponse): void {
    response.on('error', () => {})
    response.on('close', () => {
      const completion = response.writableFinished ? 'whole' : this.injectedFaults.truncatesAnswers ? 'failed' : 'cut'
      this.recorder.add({ kind: 'execution-ended', execution, how: completion, content })
    })
  }
}

async function readBody (request: IncomingMessage): Promise<number> {
  let bytes = 0
  for await (const chunk of request) bytes += (chunk as Buffer).length
  return bytes
}
