/** Head of an HTTP answer as it was received, before it is known which request it answers. */
export interface ReceivedHead {
  readonly status: number
  /** Reason phrase of the status line. */
  readonly reason: string
  /** Alternating header names and values. */
  readonly headers: readonly string[]
}

/** Decides whether an answer head belongs to the request in flight. */
export type Ownership = (head: ReceivedHead) => boolean

/** Beginning of the status line of an HTTP answer (RFC 9112, 4). */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/i

/**
 * Head of an answer that belongs to the request in flight. Only the check of whose it is makes one, so that no answer is believed for
 * its place on a connection.
 */
export class AttributedHead {
  readonly status: number
  readonly headers: readonly string[]
  /** Keeps values that were not checked from having this type. */
  private readonly attributed = true

  private constructor ({ status, headers }: ReceivedHead) {
    this.status = status
    this.headers = headers
  }

  /** Returns undefined for the head of an answer to another request, and for one that was read from the bytes of two answers. */
  static create (received: ReceivedHead, belongs: Ownership): AttributedHead | undefined {
    return isSpliced(received) || !belongs(received) ? undefined : new AttributedHead(received)
  }
}

/**
 * Whether the head contains the status line of another answer. A server that breaks off an answer and goes on with another one makes
 * both look like one head wherever a text may stand: in the reason phrase and in the values of headers.
 */
function isSpliced ({ reason, headers }: ReceivedHead): boolean {
  return statusLinePattern.test(reason) || headers.some((text, index) => index % 2 === 1 && statusLinePattern.test(text))
}
