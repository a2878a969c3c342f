import { BodyBuffer, PacedSource } from 'auburnturn/core/bodies'
import type { PieceSource } from 'auburnturn/core/bodies'
import type { BodyLimits, HeldBody } from '../bodies/index.js'
import { framePrefixBytes, maxFieldBytes } from './constants.js'
import { decodeContent } from './frame.js'
import type { Frame } from './types.js'

/** What the received bytes are so far: a part of a frame, one whole frame, or not a valid frame. */
export type FrameReadResult = Frame | 'partial' | 'invalid'

/** Collects the bytes of one connection until a frame is whole. A partial frame counts as a body that is being received. */
export class FrameReader {
  private readonly options: FrameReaderOptions
  private readonly heldBody: HeldBody
  private readonly prefix = Buffer.alloc(framePrefixBytes)
  private prefixBytes = 0
  private content = BodyBuffer.create()
  /** The connection, from the first partial frame on. */
  private source: PacedSource | undefined

  private constructor (options: FrameReaderOptions) {
    this.options = options
    this.heldBody = { bytes: 0, evict: options.onEvict }
  }

  static create (options: FrameReaderOptions): FrameReader {
    return new FrameReader(options)
  }

  /** Whether no byte of a frame has been received. */
  get empty (): boolean {
    return this.prefixBytes === 0
  }

  /** Adds received bytes. There is never more than one frame on its way, so bytes after its end are invalid. */
  read (piece: Buffer): FrameReadResult {
    const content = this.readPrefix(piece)
    if (this.prefixBytes < framePrefixBytes) return 'partial'
    const contentBytes = this.prefix.readUInt32BE(0)
    const fieldBytes = this.prefix.readUInt32BE(4)
    const isValid = fieldBytes <= maxFieldBytes && fieldBytes <= contentBytes && contentBytes - fieldBytes <= this.options.maxBodyBytes()
    const receivedBytes = this.content.length + content.length
    if (!isValid || receivedBytes > contentBytes) return 'invalid'
    if (receivedBytes < contentBytes) {
      this.hold(content, contentBytes)
      return 'partial'
    }
    return decodeContent(this.takeContent(content), fieldBytes)
  }

  /** Discards a partial frame. */
  discard (): void {
    this.source?.close()
    this.source = undefined
    this.options.bodyLimits.memory.release(this.heldBody)
    this.content = BodyBuffer.create()
    this.prefixBytes = 0
  }

  /** Copies what is missing of the prefix; returns the bytes after it. */
  private readPrefix (piece: Buffer): Buffer {
    const copied = piece.copy(this.prefix, this.prefixBytes)
    this.prefixBytes += copied
    return piece.subarray(copied)
  }

  private hold (piece: Buffer, contentBytes: number): void {
    const { bodyLimits: { memory, pace }, source } = this.options
    if (this.content.length === 0) this.content = BodyBuffer.create({ expectedBytes: contentBytes })
    this.content.add(piece)
    this.source ??= PacedSource.create({ source, pace })
    this.source.count(piece.length)
    memory.update(this.heldBody, this.content.heldBytes)
  }

  /** Returns the whole content of a frame, of which this is the last piece, and starts a new frame. */
  private takeContent (lastPiece: Buffer): Buffer {
    const { content } = this
    const isSinglePiece = content.length === 0
    if (!isSinglePiece) content.add(lastPiece)
    const whole = isSinglePiece ? lastPiece : content.toBuffer()
    this.discard()
    return whole
  }
}

interface FrameReaderOptions {
  /** The connection. */
  readonly source: PieceSource
  /** Limits all bodies that are being received together. */
  readonly bodyLimits: BodyLimits
  /** Returns the maximum size of a body, in bytes. */
  readonly maxBodyBytes: () => number
  /** Called when the bodies that are being received exceed the memory together, and this one is the largest. */
  readonly onEvict: () => void
}
