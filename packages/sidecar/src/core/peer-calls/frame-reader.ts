import type { BodyMemory, BufferedBody } from '../exchange/index.js'
import { framePrefixBytes, maxFieldBytes } from './constants.js'
import { decodeContent } from './frame.js'
import type { Frame } from './types.js'

/** What the received bytes are so far: a part of a frame, one whole frame, or not a valid frame. */
export type FrameReadResult = Frame | 'partial' | 'invalid'

/** Collects the bytes of one connection until a frame is whole. The memory of a partial frame counts as that of a body. */
export class FrameReader {
  private readonly memory: BodyMemory
  private readonly maxBodyBytes: () => number
  private readonly bufferedBody: BufferedBody
  private chunks: Buffer[] = []
  private receivedBytes = 0

  private constructor ({ memory, maxBodyBytes, onEvict }: FrameReaderOptions) {
    this.memory = memory
    this.maxBodyBytes = maxBodyBytes
    this.bufferedBody = { bytes: 0, evict: onEvict }
  }

  static create (options: FrameReaderOptions): FrameReader {
    return new FrameReader(options)
  }

  /** Whether no byte of a frame has been received. */
  get empty (): boolean {
    return this.receivedBytes === 0
  }

  /** Adds received bytes. There is never more than one frame on its way, so bytes after its end are invalid. */
  read (chunk: Buffer): FrameReadResult {
    this.chunks.push(chunk)
    this.receivedBytes += chunk.length
    if (this.receivedBytes < framePrefixBytes) return 'partial'
    const received = this.joinFirstChunks()
    const contentBytes = received.readUInt32BE(0)
    const fieldBytes = received.readUInt32BE(4)
    if (fieldBytes > maxFieldBytes || fieldBytes > contentBytes || contentBytes - fieldBytes > this.maxBodyBytes()) return 'invalid'
    const frameBytes = framePrefixBytes + contentBytes
    if (this.receivedBytes > frameBytes) return 'invalid'
    if (this.receivedBytes < frameBytes) {
      this.memory.add(this.bufferedBody, chunk.length)
      return 'partial'
    }
    const whole = this.chunks.length === 1 ? received : Buffer.concat(this.chunks, frameBytes)
    this.discard()
    return decodeContent(whole.subarray(framePrefixBytes), fieldBytes)
  }

  /** Discards a partial frame. */
  discard (): void {
    this.memory.release(this.bufferedBody)
    this.bufferedBody.bytes = 0
    this.chunks = []
    this.receivedBytes = 0
  }

  /** The first chunk, joined with the following ones if it is shorter than the prefix of a frame. */
  private joinFirstChunks (): Buffer {
    const [first] = this.chunks as [Buffer]
    if (first.length >= framePrefixBytes) return first
    const joined = Buffer.concat(this.chunks)
    this.chunks = [joined]
    return joined
  }
}

interface FrameReaderOptions {
  /** Limits all bodies that are being received together. */
  readonly memory: BodyMemory
  /** Returns the maximum size of a body, in bytes. */
  readonly maxBodyBytes: () => number
  /** Called when the bodies that are being received exceed the memory together, and this one is the largest. */
  readonly onEvict: () => void
}
