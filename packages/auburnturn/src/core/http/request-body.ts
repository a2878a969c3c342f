import type { IncomingMessage } from 'node:http'
import { BodyBuffer, PacedSource } from '../bodies/index.js'
import type { ReadPace } from '../bodies/index.js'
import type { Body, BodyFault } from '../call/types.js'
import type { Clock, Timeout } from '../clock/index.js'
import { maxUnreadBodyBytes } from './constants.js'
import { findHeader } from './headers.js'

/** The request body of a caller. Up to `replayBytes`, its bytes are retained for replay. */
export class RequestBody implements Body {
  readonly empty: boolean
  /** Value of `Content-Length`; undefined for a chunked body. */
  readonly contentLength: number | undefined
  bufferedBytes: Uint8Array | undefined
  fault: BodyFault | undefined
  private readonly request: IncomingMessage
  private readonly options: RequestBodyOptions
  private readonly source: PacedSource
  /** Received and not yet read by anyone. */
  private unread = BodyBuffer.create()
  /** Read before, for replay. */
  private readonly retained = BodyBuffer.create()
  private receivedBytes = 0
  private hasDiscarded = false
  private ended = false
  private receiving = false
  private currentRead = 0
  private timer: Timeout | undefined
  private notify: () => void = doNothing

  private constructor (request: IncomingMessage, options: RequestBodyOptions) {
    const length = findHeader(request.rawHeaders, 'content-length')
    this.request = request
    this.options = options
    this.source = PacedSource.create({ source: request, pace: options.pace })
    this.contentLength = length === undefined ? undefined : Number(length)
    this.empty = (length ?? '0') === '0' && findHeader(request.rawHeaders, 'transfer-encoding') === undefined
  }

  /** Nothing is read from the caller before `collect` or `read`. */
  static create (request: IncomingMessage, options: RequestBodyOptions): RequestBody {
    return new RequestBody(request, options)
  }

  get replayable (): boolean {
    return !this.hasDiscarded
  }

  /** Reads the complete body into `bufferedBytes` within `timeoutMs`; only for short bodies. */
  async collect (timeoutMs: number): Promise<void> {
    const timer = this.options.clock.timerWheel.after(timeoutMs, () => { this.fail('caller-idle') })
    this.startReceiving()
    while (!this.ended && this.fault === undefined) await this.waitForData()
    timer.cancel()
    if (this.fault === undefined) this.bufferedBytes = this.unread.toBuffer()
  }

  async * read (): AsyncIterable<Uint8Array> {
    if (this.hasDiscarded) throw new Error('the body cannot be read again: bytes already read were discarded')
    this.startReceiving()
    this.notify()
    const thisRead = ++this.currentRead
    if (this.retained.length > 0) {
      yield this.retained.toBuffer()
      this.assertCurrent(thisRead)
    }
    for (;;) {
      if (this.exceedsReplayLimit) this.discardRetained()
      if (this.unread.length > 0) {
        yield this.takeUnread()
      } else if (this.fault !== undefined) {
        throw new Error(this.fault)
      } else if (this.ended) {
        return
      } else {
        await this.waitForData()
      }
      this.assertCurrent(thisRead)
    }
  }

  /** Ends all reads; the rest of the body stays unread. */
  close (): void {
    this.currentRead++
    this.timer?.cancel()
    this.source.close()
    this.notify()
  }

  /** Records why the body can't be read to its end; current and later reads fail with it. */
  fail (fault: BodyFault): void {
    if (this.ended) return
    this.fault ??= fault
    this.notify()
  }

  private get exceedsReplayLimit (): boolean {
    return this.receivedBytes > this.options.replayBytes
  }

  private startReceiving (): void {
    if (this.receiving) return
    this.receiving = true
    this.options.beforeRead()
    this.request.on('data', (chunk: Buffer) => { this.receiveChunk(chunk) })
    this.request.once('end', () => { this.handleEnd() })
    this.request.once('close', () => { this.fail('caller-gone') })
  }

  private receiveChunk (chunk: Uint8Array): void {
    this.receivedBytes += chunk.length
    if (this.receivedBytes > this.options.maxBytes) {
      this.fail('body-too-large')
      return
    }
    this.unread.add(chunk)
    this.source.count(chunk.length)
    if (this.unread.length >= maxUnreadBodyBytes) this.request.pause()
    this.notify()
  }

  private handleEnd (): void {
    this.ended = true
    this.notify()
  }

  /** Waits for bytes, the end or a fault; fails the body with `caller-idle` after `callerIdleMs`. */
  private async waitForData (): Promise<void> {
    const { clock, callerIdleMs } = this.options
    const timer = clock.timerWheel.after(callerIdleMs, () => { this.fail('caller-idle') })
    this.timer = timer
    if (this.request.isPaused() && !this.source.paused) this.request.resume()
    await new Promise<void>(resolve => { this.notify = resolve })
    timer.cancel()
  }

  /** Returns what was received and not read, and retains it for replay. */
  private takeUnread (): Buffer {
    const bytes = this.unread.toBuffer()
    this.unread = BodyBuffer.create()
    this.retained.add(bytes)
    return bytes
  }

  private discardRetained (): void {
    if (this.retained.length === 0) return
    this.hasDiscarded = true
    this.retained.clear()
  }

  private assertCurrent (read: number): void {
    if (read !== this.currentRead) throw new Error('a later read of the body has started')
  }
}

function doNothing (): void {}

interface RequestBodyOptions {
  readonly clock: Clock
  /** Limits the processor time of bodies in very small pieces. */
  readonly pace: ReadPace
  /** Maximum size of a body. */
  readonly maxBytes: number
  /** Maximum size of a body that can be read again. */
  readonly replayBytes: number
  /** Maximum time without bytes from the caller. */
  readonly callerIdleMs: number
  /** Called once, before the first read. */
  readonly beforeRead: () => void
}
