import { maxAnsweredRequests } from './constants.js'

/** Requests that the target on this VM has answered of late. */
export class AnsweredRequests {
  private readonly fingerprints = new Set<string>()

  private constructor () {}

  static create (): AnsweredRequests {
    return new AnsweredRequests()
  }

  add (fingerprint: string): void {
    this.fingerprints.delete(fingerprint)
    this.fingerprints.add(fingerprint)
    if (this.fingerprints.size <= maxAnsweredRequests) return
    const [oldest] = this.fingerprints
    if (oldest !== undefined) this.fingerprints.delete(oldest)
  }

  /** Whether a request was answered since the last call with it. One answer speaks for the request at one crash only. */
  take (fingerprint: string): boolean {
    return this.fingerprints.delete(fingerprint)
  }
}
