import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { macBytes } from './constants.js'

/** Authenticates tickets with a secret that lives and ends with one incarnation. */
export class TicketSigner {
  private readonly secret = randomBytes(32)

  private constructor () {}

  static create (): TicketSigner {
    return new TicketSigner()
  }

  /** The authentication code of `text`, in base64url. */
  sign (text: string): string {
    return this.computeMac(text).toString('base64url')
  }

  verify (text: string, mac: string): boolean {
    const given = Buffer.from(mac, 'base64url')
    return given.length === macBytes && timingSafeEqual(given, this.computeMac(text))
  }

  private computeMac (text: string): Buffer {
    return createHmac('sha256', this.secret).update(text).digest().subarray(0, macBytes)
  }
}
