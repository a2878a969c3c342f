import { bufferOverheadBytes, maxBlockBytes, maxCopiedPieceBytes, minBlockBytes, reservedAfterShare } from './constants.js'

/**
 * Collects the pieces of a body. A piece of a few bytes would take several hundred bytes of memory by its objects, so that
 * small pieces are copied into larger blocks.
 */
export class BodyBuffer {
  /** Number of bytes collected. */
  length = 0
  /** Memory that the bytes take, in bytes: whole blocks, and what each of them takes besides. */
  heldBytes = 0
  private readonly buffers: Uint8Array[] = []
  /** Free part at the end of the last buffer, if that is a block. */
  private free: Uint8Array = noBytes
  /** Size of the whole body, in bytes; 0 if it is not known. */
  private readonly expectedBytes: number
  /** Whether the only buffer has room for the whole body. */
  private reserved = false

  private constructor (expectedBytes: number) {
    this.expectedBytes = expectedBytes
  }

  /** @param expectedBytes size of the whole body, if it is known: its bytes are then copied only once */
  static create ({ expectedBytes = 0 } = {}): BodyBuffer {
    return new BodyBuffer(expectedBytes)
  }

  /** Memory that `toBuffer` takes in addition to `heldBytes`, in bytes. */
  get copyBytes (): number {
    return this.buffers.length > 1 ? this.length : 0
  }

  /** Adds a piece; its bytes must not change later. */
  add (piece: Uint8Array): void {
    this.length += piece.length
    if (this.isKept(piece)) this.keep(piece)
    else this.copy(piece)
    if (this.shouldReserve) this.reserve()
  }

  /** Returns all bytes. The buffer must not be added to afterwards. */
  toBuffer (): Buffer {
    const [first] = this.buffers
    if (this.buffers.length === 1 && first !== undefined) return Buffer.from(first.buffer, first.byteOffset, this.length)
    return Buffer.concat(this.buffers, this.length)
  }

  /** Discards all bytes. */
  clear (): void {
    this.buffers.length = 0
    this.free = noBytes
    this.reserved = false
    this.length = 0
    this.heldBytes = 0
  }

  /** Whether enough of a long body has come to believe its size. */
  private get shouldReserve (): boolean {
    const { length, expectedBytes } = this
    return !this.reserved && expectedBytes > maxBlockBytes && length < expectedBytes && length >= expectedBytes * reservedAfterShare
  }

  /** Takes room for the whole body. Its memory counts as it is filled, since the system provides it only then. */
  private reserve (): void {
    const whole = Buffer.allocUnsafeSlow(this.expectedBytes)
    const filled = this.toBuffer().copy(whole)
    this.buffers.length = 0
    this.buffers.push(whole)
    this.free = whole.subarray(filled)
    this.heldBytes = filled + bufferOverheadBytes
    this.reserved = true
  }

  /** Keeps a piece without a copy if it holds no other memory, and is large or the first one, which is often the only one. */
  private isKept (piece: Uint8Array): boolean {
    const ownsMemory = piece.buffer.byteLength === piece.length
    return ownsMemory && !this.reserved && (piece.length > maxCopiedPieceBytes || this.buffers.length === 0)
  }

  private keep (piece: Uint8Array): void {
    this.closeBlock()
    this.append(piece)
  }

  private copy (piece: Uint8Array): void {
    const fitting = piece.subarray(0, this.free.length)
    this.free.set(fitting)
    if (this.reserved) this.heldBytes += fitting.length
    this.free = this.free.subarray(fitting.length)
    if (fitting.length === piece.length) return
    const rest = piece.subarray(fitting.length)
    const block = new Uint8Array(Math.max(rest.length, this.chooseBlockBytes()))
    block.set(rest)
    this.append(block)
    this.free = block.subarray(rest.length)
  }

  private append (buffer: Uint8Array): void {
    this.buffers.push(buffer)
    this.heldBytes += buffer.length + bufferOverheadBytes
  }

  /** Cuts the free part off the last block, which stays allocated. */
  private closeBlock (): void {
    const last = this.buffers.at(-1)
    if (last === undefined || this.free.length === 0) return
    this.buffers[this.buffers.length - 1] = last.subarray(0, last.length - this.free.length)
    this.free = noBytes
  }

  /** Blocks grow with the body, so that a short one takes little memory and a long one few blocks. */
  private chooseBlockBytes (): number {
    return Math.min(maxBlockBytes, Math.max(minBlockBytes, this.length))
  }
}

const noBytes = new Uint8Array(0)
