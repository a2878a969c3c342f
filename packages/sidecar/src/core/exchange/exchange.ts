import { request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { isFramed } from 'auburnturn/core/http'
import type { Timeout } from 'auburnturn/core/clock'
import type { Holding } from './body-memory.js'
import { wasReset } from './connections.js'
import { maxAnswerBytes, maxHeadBytes, maxInterimAnswers } from './constants.js'
import type { Exchange, Reply } from './types.js'

/** Sends one request and collects its whole answer. Never rejects. */
export async function exchange (options: Exchange): Promise<Reply> {
  return await new Promise(resolve => { Sending.start(options, resolve) })
}

/** How far a request has come. From `sent` on, bytes of it may have been written. */
type Stage = 'waiting' | 'connecting' | 'sent' | 'ended'

/** One request on one connection. */
class Sending {
  private readonly options: Exchange
  private readonly resolve: (reply: Reply) => void
  private readonly startedAt: number
  private readonly leave = (): void => { this.stop('left') }
  private readonly request: ClientRequest
  private stage: Stage = 'waiting'
  private timer: Timeout | undefined
  private socket: Socket | undefined
  private holding: Holding | undefined
  private interimAnswers = 0

  private constructor (options: Exchange, resolve: (reply: Reply) => void) {
    this.options = options
    this.resolve = resolve
    this.startedAt = options.clock.now()
    this.request = createRequest(options)
  }

  static start (options: Exchange, resolve: (reply: Reply) => void): void {
    if (options.signal?.aborted === true) return resolve({ kind: 'unsent', cause: 'left' })
    const sending = new Sending(options, resolve)
    options.signal?.addEventListener('abort', sending.leave, { once: true })
    sending.bound(options.timeoutMs)
    sending.request
      .on('socket', socket => { sending.take(socket) })
      .on('information', () => { sending.countInterim() })
      .on('response', answer => { sending.read(answer) })
      .on('error', error => { sending.fail(error) })
      .end(options.body)
  }

  /** A connection is there, open or not. */
  private take (socket: Socket): void {
    this.socket = socket
    if (this.stage === 'ended') return
    if (!socket.connecting) return this.markSent()
    this.stage = 'connecting'
    this.bound(Math.min(this.options.connectMs, this.leftMs()))
    socket.once('connect', () => { this.markSent() })
  }

  private markSent (): void {
    if (this.stage === 'ended') return
    this.stage = 'sent'
    this.bound(this.leftMs())
  }

  private countInterim (): void {
    if (++this.interimAnswers > maxInterimAnswers) this.stop('invalid')
  }

  private read (answer: IncomingMessage): void {
    const status = answer.statusCode ?? 0
    const { rawHeaders: headers } = answer
    if (this.options.accept?.(status, headers) === false) return this.stop('invalid')
    const chunks: Buffer[] = []
    const { memory } = this.options.connections
    const evict = (): void => {
      chunks.length = 0
      this.stop('invalid')
    }
    this.holding = { bytes: 0, evict }
    const { holding } = this
    answer.on('data', (chunk: Buffer) => {
      if (this.stage === 'ended') return
      chunks.push(chunk)
      memory.add(holding, chunk.length)
      if (holding.bytes > maxAnswerBytes) evict()
    })
    answer.once('end', () => { this.complete(status, headers, chunks) })
    answer.once('error', () => { this.finish({ kind: 'lost', cause: 'cut' }) })
  }

  private complete (status: number, headers: readonly string[], chunks: readonly Buffer[]): void {
    const { socket, options } = this
    const cut = socket !== undefined && wasReset(socket) && !isFramed(options.method, status, headers)
    if (cut) return this.finish({ kind: 'lost', cause: 'cut' })
    this.finish({ kind: 'answer', status, headers, body: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks) })
  }

  private fail (error: NodeJS.ErrnoException): void {
    if (this.stage !== 'sent') return this.finish({ kind: 'unsent', cause: 'connect-failed' })
    this.finish({ kind: 'lost', cause: error.code?.startsWith('HPE_') === true ? 'invalid' : 'reset' })
  }

  private leftMs (): number {
    const { clock, timeoutMs } = this.options
    return timeoutMs - (clock.now() - this.startedAt)
  }

  private bound (milliseconds: number): void {
    this.timer?.cancel()
    this.timer = this.options.clock.timerWheel.after(milliseconds, () => { this.stop('timeout') })
  }

  /** Ends the exchange at once; its connection is closed. */
  private stop (cause: 'timeout' | 'left' | 'invalid'): void {
    if (this.stage === 'sent') this.finish({ kind: 'lost', cause })
    else if (cause === 'left') this.finish({ kind: 'unsent', cause })
    else this.finish({ kind: 'unsent', cause: this.stage === 'connecting' && this.leftMs() > 0 ? 'connect-timeout' : 'timeout' })
    this.request.destroy()
  }

  private finish (reply: Reply): void {
    if (this.stage === 'ended') return
    this.stage = 'ended'
    this.timer?.cancel()
    if (this.holding !== undefined) this.options.connections.memory.release(this.holding)
    this.options.signal?.removeEventListener('abort', this.leave)
    this.resolve(reply)
  }
}

function createRequest ({ connections, method, path, headers, body }: Exchange): ClientRequest {
  const { agent, address } = connections
  const colon = address.lastIndexOf(':')
  const bodiless = body.length === 0 && (method === 'GET' || method === 'HEAD')
  return request({
    agent,
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    method,
    path,
    // An array is written as it stands.
    headers: (bodiless ? headers : [...headers, 'content-length', String(body.length)]) as unknown as Record<string, string>,
    maxHeaderSize: maxHeadBytes
  })
}
