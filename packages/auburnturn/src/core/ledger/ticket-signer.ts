import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { macBytes } from './constants.js'

/** Signs and verifies tickets with a random secret that is valid for one incarnation only. */
export class TicketSigner {
  private readonly secret = randomBytes(32)

  private constructor () {}

  static create (): TicketSigner {
    return new TicketSigner()
  }

  /** Returns the message authentication code of `text`, in base64url. */
  sign (text: string): string {
    return this.computeMac(text).toString('base64url')
  }

  verify (text: string, mac: string): boolean {
    const received = Buffer.from(mac, 'base64url')
    return received.length === macBytes && timingSafeEqual(received, this.computeMac(text))
  }

  private computeMac (text: string): Buffer {
    return createHmac('sha256', this.secret).update(text).digest().subarray(0, macBytes)
  }
}
