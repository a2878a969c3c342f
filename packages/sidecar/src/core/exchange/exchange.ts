import { decodeHeaders, isFramed } from 'auburnturn/core/http'
import type { Connection, Waiter } from 'auburnturn/core/http'
import type { Timeout } from 'auburnturn/core/clock'
import type { Dispatcher } from 'undici'
import { maxAnswerBytes } from './constants.js'
import type { Exchange, LossCause, Reply } from './types.js'

/** Sends one request and collects its whole answer. Never rejects. */
export async function exchange (options: Exchange): Promise<Reply> {
  return await new Promise(resolve => { Sending.start(options, resolve) })
}

/** How far a request has come. From `sent` on, bytes of it may have been written. */
type Stage = 'waiting' | 'connecting' | 'sent' | 'ended'

/** One request on one connection; implements undici's handler of raw headers and chunks. */
class Sending implements Waiter {
  private readonly options: Exchange
  private readonly resolve: (reply: Reply) => void
  private readonly startedAt: number
  private readonly leave = (): void => { this.stop('left') }
  private stage: Stage = 'waiting'
  private connection: Connection | undefined
  private timer: Timeout | undefined
  private abort: (error: Error) => void = () => {}
  private stopCause: LossCause | undefined
  private status = 0
  private headers: readonly string[] = []
  private readonly chunks: Buffer[] = []
  private bytes = 0

  private constructor (options: Exchange, resolve: (reply: Reply) => void) {
    this.options = options
    this.resolve = resolve
    this.startedAt = options.clock.now()
  }

  static start (options: Exchange, resolve: (reply: Reply) => void): void {
    const sending = new Sending(options, resolve)
    if (options.signal?.aborted === true) return sending.finish({ kind: 'unsent', cause: 'left' })
    options.signal?.addEventListener('abort', sending.leave, { once: true })
    sending.bound(options.timeoutMs)
    options.connections.request(sending)
  }

  start (connection: Connection): void {
    const { method, path, headers, body, connectMs } = this.options
    this.stage = 'connecting'
    this.connection = connection
    if (!connection.open) this.bound(Math.min(connectMs, this.leftMs()))
    connection.client.dispatch({
      method: method as Dispatcher.HttpMethod,
      path,
      headers: headers as string[],
      body: body.length === 0 ? null : body,
      idempotent: false,
      ...(method === 'HEAD' ? { reset: false } : {})
    }, this as unknown as Dispatcher.DispatchHandler)
  }

  /** undici calls this right before it writes; to throw here writes nothing. */
  onConnect (abort: (error: Error) => void): void {
    if (this.stage === 'ended') throw new Error('ended before it was sent')
    this.stage = 'sent'
    this.abort = abort
    this.bound(this.leftMs())
    this.options.onSent?.()
  }

  onHeaders (status: number, rawHeaders: Buffer[]): boolean {
    if (status < 200) return true
    const headers = decodeHeaders(rawHeaders)
    if (this.options.accept?.(status, headers) === false) {
      this.stopCause = 'invalid'
      throw new Error('the answer is not that of this request')
    }
    this.status = status
    this.headers = headers
    // undici expects the announced length also of an answer that has no body.
    if (status === 304) this.onComplete()
    return true
  }

  onData (chunk: Buffer): boolean {
    this.bytes += chunk.length
    if (this.bytes > maxAnswerBytes) this.stop('invalid')
    else this.chunks.push(chunk)
    return true
  }

  onComplete (): void {
    if (this.stage === 'ended') return
    const { status, headers, options } = this
    if (this.connection?.broken === true && !isFramed(options.method, status, headers)) return this.finish({ kind: 'lost', cause: 'cut' })
    const body = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks)
    this.finish({ kind: 'answer', status, headers, body })
  }

  onError (error: Error): void {
    if (this.stage === 'ended') return
    if (this.stage !== 'sent') return this.finish({ kind: 'unsent', cause: 'connect-failed' })
    this.finish({ kind: 'lost', cause: this.stopCause ?? this.judge(error) })
  }

  private judge (error: Error): LossCause {
    if (this.status !== 0) return 'cut'
    return error.name === 'HTTPParserError' || error.name === 'HeadersOverflowError' ? 'invalid' : 'reset'
  }

  private leftMs (): number {
    const { clock, timeoutMs } = this.options
    return timeoutMs - (clock.now() - this.startedAt)
  }

  private bound (milliseconds: number): void {
    this.timer?.cancel()
    this.timer = this.options.clock.wheel.after(milliseconds, () => { this.stop('timeout') })
  }

  /** Ends the exchange at once; what was sent has its connection closed. */
  private stop (cause: 'timeout' | 'left' | 'invalid'): void {
    const { stage, connection } = this
    if (stage === 'ended') return
    if (stage === 'sent') {
      this.stopCause = cause
      this.abort(new Error(cause))
      return
    }
    const { connections } = this.options
    if (stage === 'waiting') connections.withdraw(this)
    const connecting = stage === 'connecting' && connection?.open === false
    if (connecting) connections.discard(connection).catch(() => {})
    if (cause === 'left') this.finish({ kind: 'unsent', cause })
    else this.finish({ kind: 'unsent', cause: connecting && this.leftMs() > 0 ? 'connect-timeout' : 'timeout' })
  }

  private finish (reply: Reply): void {
    const { connection } = this
    const { signal, connections } = this.options
    this.stage = 'ended'
    this.timer?.cancel()
    signal?.removeEventListener('abort', this.leave)
    // Later, because undici is still at work on the connection here.
    if (connection !== undefined) queueMicrotask(() => { connections.release(connection) })
    this.resolve(reply)
  }
}
