import { maxTrackedSerials } from './constants.js'

/** One bit for each of the newest serials: whether its call ran or may have run. */
export class UsedSerials {
  private readonly bits: Uint32Array
  private readonly capacity: number
  private issuedCount = 0

  private constructor (capacity: number) {
    this.capacity = capacity
    this.bits = new Uint32Array(capacity / 32)
  }

  /** `capacity` is a multiple of 32. */
  static create (capacity: number = maxTrackedSerials): UsedSerials {
    return new UsedSerials(capacity)
  }

  /** Takes the next serial; the oldest one remembered falls below the floor. */
  issue (): number {
    const serial = this.issuedCount++
    this.writeBit(serial, false)
    return serial
  }

  wasIssued (serial: number): boolean {
    return serial < this.issuedCount
  }

  /** Lowest serial whose use is still known. */
  get floor (): number {
    return Math.max(0, this.issuedCount - this.capacity)
  }

  /** Whether the serial was used, or is too old to tell. */
  isUsed (serial: number): boolean {
    if (serial < this.floor) return true
    const slot = serial % this.capacity
    return ((this.bits[slot >>> 5] as number) >>> (slot & 31) & 1) === 1
  }

  /** A serial below the floor counts as used whatever is set. */
  set (serial: number, used: boolean): void {
    if (serial >= this.floor) this.writeBit(serial, used)
  }

  private writeBit (serial: number, used: boolean): void {
    const slot = serial % this.capacity
    const mask = 1 << (slot & 31)
    const word = this.bits[slot >>> 5] as number
    this.bits[slot >>> 5] = used ? word | mask : word & ~mask
  }
}
