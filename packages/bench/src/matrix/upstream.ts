import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Recording } from './recording.js'

/** Time an execution takes unless a request asks for more, in milliseconds. */
const workMs = 4

/** Pause after each part of an answer, in milliseconds. */
const partMs = 3

/** Points of an execution at which a fault may strike. */
export type ExecutionPoint = 'running' | 'answer-head' | 'answer-body'

/** How an upstream misbehaves from now on. */
export interface Misbehaviour {
  /** Wait before a request is run. */
  startDelayMs: number
  /** Wait before an answer that is ready is sent. */
  answerDelayMs: number
  failsFast: boolean
  truncates: boolean
  /** A call that crashes every upstream that starts it. */
  killedBy: string | undefined
}

/** Told when a sending reaches a point. */
export type PointListener = (point: ExecutionPoint, sending: string, target: string) => void

/** A fake of a customer's service on one VM; it records what it runs. */
export class MatrixUpstream {
  readonly misbehaviour: Misbehaviour = { startDelayMs: 0, answerDelayMs: 0, failsFast: false, truncates: false, killedBy: undefined }
  private readonly server: Server
  private readonly target: string
  private readonly recording: Recording
  private readonly listener: PointListener
  private runs = 0

  private constructor (target: string, recording: Recording, listener: PointListener) {
    this.target = target
    this.recording = recording
    this.listener = listener
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.serve(request, response).catch(() => { response.destroy() })
    })
  }

  static async create (ip: string, target: string, recording: Recording, listener: PointListener): Promise<MatrixUpstream> {
    const upstream = new MatrixUpstream(target, recording, listener)
    await new Promise<void>(resolve => { upstream.server.listen(0, ip, resolve) })
    return upstream
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Breaks off whatever runs, as when the process dies. */
  crash (): void {
    this.recording.add({ kind: 'target-failed', target: this.target })
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
    if (this.misbehaviour.startDelayMs > 0) await sleep(this.misbehaviour.startDelayMs)
    const execution = `${this.target}#${this.runs++}`
    this.recording.add({ kind: 'execution-started', execution, sending, call, target: this.target })
    this.watchEnd(execution, `${execution} ran ${call} with ${bytes} bytes`, response)
    this.listener('running', sending, this.target)
    if (this.misbehaviour.killedBy === call) this.crash()
    await sleep(Number(request.headers['x-work-ms'] ?? workMs))
    await this.answer(response, execution, sending, `${execution} ran ${call} with ${bytes} bytes`)
  }

  private async answer (response: ServerResponse, execution: string, sending: string, content: string): Promise<void> {
    if (this.misbehaviour.answerDelayMs > 0) await sleep(this.misbehaviour.answerDelayMs)
    // Every other answer has no length, so that only the end of the chunks tells that it is whole.
    const length = this.runs % 2 === 0 ? {} : { 'content-length': content.length }
    response.writeHead(this.misbehaviour.failsFast ? 503 : 201, { 'x-execution': execution, ...length })
    response.flushHeaders()
    await sleep(partMs)
    this.listener('answer-head', sending, this.target)
    if (this.misbehaviour.answerDelayMs > 0) await sleep(this.misbehaviour.answerDelayMs)
    response.write(content.slice(0, 10))
    await sleep(partMs)
    this.listener('answer-body', sending, this.target)
    if (this.misbehaviour.answerDelayMs > 0) await sleep(this.misbehaviour.answerDelayMs)
    if (this.misbehaviour.truncates) response.destroy()
    else response.end(content.slice(10))
  }

  private watchEnd (execution: string, content: string, response: ServerResponse): void {
    response.on('error', () => {})
    response.on('close', () => {
      const how = response.writableFinished ? 'whole' : this.misbehaviour.truncates ? 'failed' : 'cut'
      this.recording.add({ kind: 'execution-ended', execution, how, content })
    })
  }
}

async function readBody (request: IncomingMessage): Promise<number> {
  let bytes = 0
  for await (const chunk of request) bytes += (chunk as Buffer).length
  return bytes
}
