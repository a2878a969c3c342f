import type { AttributedHead } from '../attribution/index.js'
import type { ConnectionUse, Headers } from './types.js'

/** The whole answer of a server to the request that was sent to it. */
export class Answer {
  readonly kind = 'answer'
  readonly body: Buffer
  /** How the connection was used before the request. */
  readonly connection: ConnectionUse
  private readonly head: AttributedHead

  private constructor ({ head, body, connection }: AnswerParts) {
    this.head = head
    this.body = body
    this.connection = connection
  }

  static create (parts: AnswerParts): Answer {
    return new Answer(parts)
  }

  get status (): number {
    return this.head.status
  }

  get headers (): Headers {
    return this.head.headers
  }
}

interface AnswerParts {
  readonly head: AttributedHead
  readonly body: Buffer
  readonly connection: ConnectionUse
}
