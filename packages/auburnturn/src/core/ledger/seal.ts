import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { macBytes } from './constants.js'

/** Authenticates tickets with a secret that lives and ends with one incarnation. */
export class Seal {
  private readonly secret = randomBytes(32)

  private constructor () {}

  static create (): Seal {
    return new Seal()
  }

  /** The authentication code of `text`, in base64url. */
  sign (text: string): string {
    return this.digest(text).toString('base64url')
  }

  verify (text: string, mac: string): boolean {
    const given = Buffer.from(mac, 'base64url')
    return given.length === macBytes && timingSafeEqual(given, this.digest(text))
  }

  private digest (text: string): Buffer {
    return createHmac('sha256', this.secret).update(text).digest().subarray(0, macBytes)
  }
}
