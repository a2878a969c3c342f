import { rememberedSerials } from './constants.js'

/** One bit for each of the newest serials: whether its call ran or may have run. */
export class UsedSerials {
  private readonly bits: Uint32Array
  private readonly capacity: number
  private issued = 0

  private constructor (capacity: number) {
    this.capacity = capacity
    this.bits = new Uint32Array(capacity / 32)
  }

  /** `capacity` is a multiple of 32. */
  static create (capacity: number = rememberedSerials): UsedSerials {
    return new UsedSerials(capacity)
  }

  /** Takes the next serial; the oldest one remembered falls below the floor. */
  issue (): number {
    const serial = this.issued++
    this.write(serial, false)
    return serial
  }

  wasIssued (serial: number): boolean {
    return serial < this.issued
  }

  /** Lowest serial whose use is still known. */
  get floor (): number {
    return Math.max(0, this.issued - this.capacity)
  }

  /** Whether the serial was used, or is too old to tell. */
  isUsed (serial: number): boolean {
    if (serial < this.floor) return true
    const slot = serial % this.capacity
    return ((this.bits[slot >>> 5] as number) >>> (slot & 31) & 1) === 1
  }

  /** A serial below the floor counts as used whatever is set. */
  set (serial: number, used: boolean): void {
    if (serial >= this.floor) this.write(serial, used)
  }

  private write (serial: number, used: boolean): void {
    const slot = serial % this.capacity
    const mask = 1 << (slot & 31)
    const word = this.bits[slot >>> 5] as number
    this.bits[slot >>> 5] = used ? word | mask : word & ~mask
  }
}
