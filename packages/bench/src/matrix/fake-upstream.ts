import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryRecorder } from './history-recorder.js'

/** Time an execution takes unless a request asks for more, in milliseconds. */
const defaultWorkMs = 4

/** Pause after each part of an answer, in milliseconds. */
const partPauseMs = 3

/** Points of an execution at which a fault may strike. */
export type ExecutionPoint = 'running' | 'answer-head' | 'answer-body'

/** How an upstream misbehaves from now on. */
export interface InjectedFaults {
  /** Wait before a request is run. */
  startDelayMs: number
  /** Wait before an answer that is ready is sent. */
  answerDelayMs: number
  failsFast: boolean
  truncatesAnswers: boolean
  /** A call that crashes every upstream that starts it. */
  crashingCall: string | undefined
}

/** Told when a sending reaches a point. */
export type ExecutionPointListener = (point: ExecutionPoint, sending: string, target: string) => void

/** A fake of a customer's service on one VM; it records what it runs. */
export class FakeUpstream {
  readonly injectedFaults: InjectedFaults = { startDelayMs: 0, answerDelayMs: 0, failsFast: false, truncatesAnswers: false, crashingCall: undefined }
  private readonly server: Server
  private readonly target: string
  private readonly recorder: HistoryRecorder
  private readonly listener: ExecutionPointListener
  private executionCount = 0

  private constructor (target: string, recording: HistoryRecorder, listener: ExecutionPointListener) {
    this.target = target
    this.recorder = recording
    this.listener = listener
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.serve(request, response).catch(() => { response.destroy() })
    })
  }

  static async create (ip: string, target: string, recording: HistoryRecorder, listener: ExecutionPointListener): Promise<FakeUpstream> {
    const upstream = new FakeUpstream(target, recording, listener)
    await new Promise<void>(resolve => { upstream.server.listen(0, ip, resolve) })
    return upstream
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Breaks off whatever runs, as when the process dies. */
  crash (): void {
    this.recorder.add({ kind: 'target-failed', target: this.target })
    this.server.closeAllConnections()
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const sending = String(request.headers['x-sending'] ?? '')
    const call = String(request.headers['x-call'] ?? '')
    const bytes = await readBody(request)
    if (this.injectedFaults.startDelayMs > 0) await sleep(this.injectedFaults.startDelayMs)
    const execution = `${this.target}#${this.executionCount++}`
    this.recorder.add({ kind: 'execution-started', execution, sending, call, target: this.target })
    this.recordEnd(execution, `${execution} ran ${call} with ${bytes} bytes`, response)
    this.listener('running', sending, this.target)
    if (this.injectedFaults.crashingCall === call) this.crash()
    await sleep(Number(request.headers['x-work-ms'] ?? defaultWorkMs))
    await this.answer(response, execution, sending, `${execution} ran ${call} with ${bytes} bytes`)
  }

  private async answer (response: ServerResponse, execution: string, sending: string, content: string): Promise<void> {
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    // Every other answer has no length, so that only the end of the chunks tells that it is whole.
    const length = this.executionCount % 2 === 0 ? {} : { 'content-length': content.length }
    response.writeHead(this.injectedFaults.failsFast ? 503 : 201, { 'x-execution': execution, ...length })
    response.flushHeaders()
    await sleep(partPauseMs)
    this.listener('answer-head', sending, this.target)
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    response.write(content.slice(0, 10))
    await sleep(partPauseMs)
    this.listener('answer-body', sending, this.target)
    if (this.injectedFaults.answerDelayMs > 0) await sleep(this.injectedFaults.answerDelayMs)
    if (this.injectedFaults.truncatesAnswers) response.destroy()
    else response.end(content.slice(10))
  }

  private recordEnd (execution: string, content: string, response: ServerResponse): void {
    response.on('error', () => {})
    response.on('close', () => {
      const how = response.writableFinished ? 'whole' : this.injectedFaults.truncatesAnswers ? 'failed' : 'cut'
      this.recorder.add({ kind: 'execution-ended', execution, how, content })
    })
  }
}

async function readBody (request: IncomingMessage): Promise<number> {
  let bytes = 0
  for await (const chunk of request) bytes += (chunk as Buffer).length
  return bytes
}
