import { request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { isFramed, maxInterimAnswers } from 'auburnturn/core/http'
import type { Timeout } from 'auburnturn/core/clock'
import { AttributedHead } from '../attribution/index.js'
import { BodyReceiver } from '../bodies/index.js'
import type { BodyResult } from '../bodies/index.js'
import { Answer } from './answer.js'
import { wasReset } from './connection-pool.js'
import { maxAnswerBytes, maxAnswerHeadBytes, misdirectedStatus } from './constants.js'
import { isFinalStatus } from './final-status.js'
import type { ConnectionUse, ExchangeOptions, ExchangeResult } from './types.js'

/** Sends one request and receives its whole answer. Rejects only if the head of the request can't be written. */
export async function exchange (options: ExchangeOptions): Promise<ExchangeResult> {
  return await new Promise(resolve => { ActiveExchange.start(options, resolve) })
}

/** Progress of a request: waiting for a connection, connecting, sent (bytes of it may have been written), or ended. */
type Stage = 'waiting' | 'connecting' | 'sent' | 'ended'

/** One request in flight on one connection. */
class ActiveExchange {
  private readonly options: ExchangeOptions
  private readonly resolve: (result: ExchangeResult) => void
  private readonly startedAt: number
  private readonly handleAbort = (): void => { if (this.stage !== 'sent' || this.options.completesOnceSent !== true) this.abort('left') }
  private readonly request: ClientRequest
  private stage: Stage = 'waiting'
  private timer: Timeout | undefined
  private socket: Socket | undefined
  private connection: ConnectionUse = { earlierRequests: 0, ageMs: 0 }
  private receiver: BodyReceiver | undefined
  private interimAnswers = 0

  private constructor (options: ExchangeOptions, resolve: (result: ExchangeResult) => void) {
    this.options = options
    this.resolve = resolve
    this.startedAt = options.clock.now()
    this.request = createRequest(options)
  }

  static start (options: ExchangeOptions, resolve: (result: ExchangeResult) => void): void {
    if (options.signal?.aborted === true) return resolve({ kind: 'unsent', cause: 'left' })
    const active = new ActiveExchange(options, resolve)
    options.signal?.addEventListener('abort', active.handleAbort, { once: true })
    active.startTimer(options.timeoutMs)
    active.request
      .on('socket', socket => { active.useSocket(socket) })
      .on('information', () => { active.countInterimAnswer() })
      .on('response', answer => { active.readAnswer(answer) })
      // No request asks for another protocol.
      .on('upgrade', () => { active.abort('invalid') })
      .on('error', error => { active.handleError(error) })
      .end(options.body)
  }

  /** Handles the assignment of a socket, which may still be connecting. */
  private useSocket (socket: Socket): void {
    this.socket = socket
    this.connection = this.options.connections.recordUse(socket)
    if (this.stage === 'ended') return
    if (!socket.connecting) return this.markSent()
    this.stage = 'connecting'
    this.startTimer(Math.min(this.options.connectMs, this.remainingMs()))
    socket.once('connect', () => { this.markSent() })
  }

  private markSent (): void {
    if (this.stage === 'ended') return
    this.stage = 'sent'
    this.startTimer(this.remainingMs())
  }

  private countInterimAnswer (): void {
    if (++this.interimAnswers > maxInterimAnswers) this.abort('invalid')
  }

  private readAnswer (answer: IncomingMessage): void {
    const { statusCode: status = 0, statusMessage: reason = '', rawHeaders: headers } = answer
    if (!isFinalStatus(status)) return this.abort('invalid')
    const head = AttributedHead.create({ status, reason, headers }, this.options.belongs)
    if (head === undefined) return this.abort('foreign')
    const { bodyLimits } = this.options.connections
    this.receiver = BodyReceiver.start(answer, { bodyLimits, maxBytes: maxAnswerBytes, onEnd: result => { this.endBody(head, result) } })
  }

  private endBody (head: AttributedHead, result: BodyResult): void {
    switch (result.kind) {
      case 'whole': return this.complete(head, result.body)
      case 'cut': return this.finish({ kind: 'lost', cause: 'cut' })
      case 'too-large':
      case 'no-memory': return this.abort('invalid')
    }
  }

  private complete (head: AttributedHead, body: Buffer): void {
    const { socket, options } = this
    const truncated = socket !== undefined && wasReset(socket) && !isFramed(options.method, head.status, head.headers)
    if (truncated) return this.finish({ kind: 'lost', cause: 'cut' })
    // The same request may be sent again, and its id does not tell an answer to the second sending from a repeated one to the first.
    if (head.status === misdirectedStatus) socket?.destroy()
    this.finish(Answer.create({ head, body, connection: this.connection }))
  }

  private handleError (error: NodeJS.ErrnoException): void {
    if (this.stage !== 'sent') return this.finish({ kind: 'unsent', cause: 'connect-failed' })
    this.finish({ kind: 'lost', cause: error.code?.startsWith('HPE_') === true ? 'invalid' : 'reset' })
  }

  private remainingMs (): number {
    const { clock, timeoutMs } = this.options
    return timeoutMs - (clock.now() - this.startedAt)
  }

  private startTimer (milliseconds: number): void {
    this.timer?.cancel()
    this.timer = this.options.clock.timerWheel.after(milliseconds, () => { this.abort('timeout') })
  }

  /** Ends the exchange immediately and closes its connection. */
  private abort (cause: 'timeout' | 'left' | 'invalid' | 'foreign'): void {
    if (this.stage === 'sent') this.finish({ kind: 'lost', cause })
    else if (cause === 'left') this.finish({ kind: 'unsent', cause })
    else this.finish({ kind: 'unsent', cause: this.stage === 'connecting' && this.remainingMs() > 0 ? 'connect-timeout' : 'timeout' })
    this.request.destroy()
  }

  private finish (result: ExchangeResult): void {
    if (this.stage === 'ended') return
    this.stage = 'ended'
    this.timer?.cancel()
    this.receiver?.close()
    this.options.signal?.removeEventListener('abort', this.handleAbort)
    this.resolve(result)
  }
}

function createRequest ({ connections, method, path, headers, body }: ExchangeOptions): ClientRequest {
  const { agent, address } = connections
  const colon = address.lastIndexOf(':')
  const hasNoBody = body.length === 0 && (method === 'GET' || method === 'HEAD')
  return request({
    agent,
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    method,
    path,
    // Node writes an array of alternating names and values unchanged.
    headers: (hasNoBody ? headers : [...headers, 'content-length', String(body.length)]) as unknown as Record<string, string>,
    maxHeaderSize: maxAnswerHeadBytes
  })
}
