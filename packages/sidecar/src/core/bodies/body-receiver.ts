import type { IncomingMessage } from 'node:http'
import { BodyBuffer, bufferOverheadBytes, PacedSource } from 'auburnturn/core/bodies'
import type { HeldBody } from './body-memory.js'
import type { BodyLimits, BodyResult } from './types.js'

/** Receives the body of one HTTP message. */
export class BodyReceiver {
  private readonly message: IncomingMessage
  private readonly options: BodyReceiverOptions
  private readonly buffer: BodyBuffer
  private readonly source: PacedSource
  private readonly heldBody: HeldBody
  private pieces = 0
  private ended = false

  private constructor (message: IncomingMessage, options: BodyReceiverOptions) {
    this.message = message
    this.options = options
    this.buffer = BodyBuffer.create({ expectedBytes: Math.min(readLength(message), options.maxBytes) })
    this.source = PacedSource.create({ source: message, pace: options.bodyLimits.pace })
    this.heldBody = { bytes: 0, evict: () => { this.finish({ kind: 'no-memory' }) } }
  }

  /** Starts to receive. */
  static start (message: IncomingMessage, options: BodyReceiverOptions): BodyReceiver {
    const receiver = new BodyReceiver(message, options)
    message.on('data', (piece: Buffer) => { receiver.receive(piece) })
    message.once('end', () => { receiver.complete() })
    message.once('error', () => { receiver.finish({ kind: 'cut' }) })
    message.once('close', () => { receiver.finish({ kind: 'cut' }) })
    return receiver
  }

  /** Discards what was received; `onEnd` is not called any more. */
  close (): void {
    if (this.ended) return
    this.ended = true
    this.source.close()
    this.options.bodyLimits.memory.release(this.heldBody)
    this.buffer.clear()
  }

  private receive (piece: Buffer): void {
    if (this.ended) return
    this.pieces++
    this.buffer.add(piece)
    this.source.count(piece.length)
    this.options.bodyLimits.memory.update(this.heldBody, this.buffer.heldBytes + this.estimateWaitingBytes())
    if (this.buffer.length > this.options.maxBytes) this.finish({ kind: 'too-large' })
  }

  /** Joins the pieces of the whole body. */
  private complete (): void {
    if (this.ended) return
    this.options.bodyLimits.memory.update(this.heldBody, this.buffer.heldBytes + this.buffer.copyBytes)
    this.finish({ kind: 'whole', body: this.buffer.toBuffer() })
  }

  /** Estimates the memory of the pieces that wait in a paused message, from the mean size of those received. */
  private estimateWaitingBytes (): number {
    const waiting = this.message.readableLength
    return waiting + Math.ceil(waiting * this.pieces / this.buffer.length) * bufferOverheadBytes
  }

  private finish (result: BodyResult): void {
    if (this.ended) return
    this.close()
    this.options.onEnd(result)
  }
}

/** Returns the size that a message names for its body, in bytes; 0 for none. */
function readLength ({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0)
}

interface BodyReceiverOptions {
  readonly bodyLimits: BodyLimits
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number
  /** Called once, unless the receiver is closed before. */
  readonly onEnd: (result: BodyResult) => void
}
