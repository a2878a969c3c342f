import { maxTrackedSerials } from './constants.js'

/** Stores one bit for each of the newest serials: whether its call ran or may have run. */
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

  /**
   * Returns the next serial. Once all bits are in use, it reuses the bit of the oldest tracked serial, which is then below
   * the floor.
   */
  issue (): number {
    const serial = this.issuedCount++
    this.writeBit(serial, false)
    return serial
  }

  wasIssued (serial: number): boolean {
    return serial < this.issuedCount
  }

  /** Lowest serial that is still tracked. */
  get floor (): number {
    return Math.max(0, this.issuedCount - this.capacity)
  }

  /** Whether the serial was used; true also for a serial that is no longer tracked. */
  isUsed (serial: number): boolean {
    if (serial < this.floor) return true
    const bitIndex = serial % this.capacity
    return ((this.bits[bitIndex >>> 5] as number) >>> (bitIndex & 31) & 1) === 1
  }

  /** Marks a serial as used or unused. A serial below the floor always counts as used. */
  set (serial: number, used: boolean): void {
    if (serial >= this.floor) this.writeBit(serial, used)
  }

  private writeBit (serial: number, used: boolean): void {
    const bitIndex = serial % this.capacity
    const mask = 1 << (bitIndex & 31)
    const word = this.bits[bitIndex >>> 5] as number
    this.bits[bitIndex >>> 5] = used ? word | mask : word & ~mask
  }
}
