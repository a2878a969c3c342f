import type { IncomingMessage } from 'node:http'
import type { Body, BodyFault } from '../call/types.js'
import type { Clock, Timeout } from '../clock/index.js'
import { bodyWindowBytes } from './constants.js'
import { findHeader } from './headers.js'

/** A caller's request body. Its chunks are retained, without copies, up to `replayBytes`. */
export class RequestBody implements Body {
  readonly empty: boolean
  /** Bytes that `Content-Length` announces; undefined for a chunked body. */
  readonly announcedBytes: number | undefined
  whole: Uint8Array | undefined
  fault: BodyFault | undefined
  private readonly request: IncomingMessage
  private readonly options: RequestBodyOptions
  private readonly chunks: Uint8Array[] = []
  private receivedBytes = 0
  private unreadBytes = 0
  private discarded = false
  private ended = false
  private started = false
  private reading = 0
  private timer: Timeout | undefined
  private wake: () => void = doNothing

  private constructor (request: IncomingMessage, options: RequestBodyOptions) {
    const length = findHeader(request.rawHeaders, 'content-length')
    this.request = request
    this.options = options
    this.announcedBytes = length === undefined ? undefined : Number(length)
    this.empty = (length ?? '0') === '0' && findHeader(request.rawHeaders, 'transfer-encoding') === undefined
  }

  /** Nothing is read before `collect` or `read`. */
  static create (request: IncomingMessage, options: RequestBodyOptions): RequestBody {
    return new RequestBody(request, options)
  }

  get replayable (): boolean {
    return !this.discarded
  }

  /** Reads the body to its end into `whole`, within `milliseconds`; to be used for short bodies only. */
  async collect (milliseconds: number): Promise<void> {
    const timer = this.options.clock.timerWheel.after(milliseconds, () => { this.fail('caller-idle') })
    this.begin()
    while (!this.ended && this.fault === undefined) await this.arrival()
    timer.cancel()
    if (this.fault === undefined) this.whole = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
  }

  async * read (): AsyncIterable<Uint8Array> {
    if (this.discarded) throw new Error('body bytes are no longer held')
    this.begin()
    this.wake()
    const reading = ++this.reading
    this.unreadBytes = this.chunks.reduce((bytes, chunk) => bytes + chunk.length, 0)
    for (let position = 0; ;) {
      if (this.isOverLimit) position = this.discard(position)
      const chunk = this.chunks[position]
      if (chunk !== undefined) {
        position++
        this.unreadBytes -= chunk.length
        yield chunk
      } else if (this.fault !== undefined) {
        throw new Error(this.fault)
      } else if (this.ended) {
        return
      } else {
        await this.arrival()
      }
      if (reading !== this.reading) throw new Error('another reading has begun')
    }
  }

  /** Ends every reading; what was not read stays unread. */
  close (): void {
    this.reading++
    this.timer?.cancel()
    this.wake()
  }

  /** Records why the body can't be read to its end, for readings now and later. */
  fail (fault: BodyFault): void {
    if (this.ended) return
    this.fault ??= fault
    this.wake()
  }

  private get isOverLimit (): boolean {
    return this.receivedBytes > this.options.replayBytes
  }

  private begin (): void {
    if (this.started) return
    this.started = true
    this.options.beforeRead()
    this.request.on('data', (chunk: Buffer) => { this.take(chunk) })
    this.request.once('end', () => { this.end() })
    this.request.once('close', () => { this.fail('caller-gone') })
  }

  private take (chunk: Uint8Array): void {
    this.receivedBytes += chunk.length
    this.unreadBytes += chunk.length
    if (this.receivedBytes > this.options.maxBytes) {
      this.fail('body-too-large')
      return
    }
    this.chunks.push(chunk)
    if (this.unreadBytes >= bodyWindowBytes) this.request.pause()
    this.wake()
  }

  private end (): void {
    this.ended = true
    this.wake()
  }

  /** Waits for bytes, the end or a fault, for as long as the caller may be silent. */
  private async arrival (): Promise<void> {
    const { clock, idleMs } = this.options
    const timer = clock.timerWheel.after(idleMs, () => { this.fail('caller-idle') })
    this.timer = timer
    if (this.request.isPaused()) this.request.resume()
    await new Promise<void>(resolve => { this.wake = resolve })
    timer.cancel()
  }

  private discard (count: number): number {
    if (count === 0) return 0
    this.discarded = true
    this.chunks.splice(0, count)
    return 0
  }
}

function doNothing (): void {}

interface RequestBodyOptions {
  readonly clock: Clock
  /** Longest body, in bytes. */
  readonly maxBytes: number
  /** Longest body that can be read again, in bytes. */
  readonly replayBytes: number
  /** Longest silence of the caller, in milliseconds. */
  readonly idleMs: number
  /** Called once, when the body is first wanted. */
  readonly beforeRead: () => void
}
