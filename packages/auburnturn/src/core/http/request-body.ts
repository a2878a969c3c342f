import type { IncomingMessage } from 'node:http'
import type { Body } from '../call/types.js'

/** A caller's request body; chunks are held, without copies, up to `replayBytes`. */
export class RequestBody implements Body {
  readonly empty: boolean
  private readonly request: IncomingMessage
  private readonly replayBytes: number
  private held: Uint8Array[] = []
  private heldBytes = 0
  private overflowed = false
  private reading: AsyncIterator<Uint8Array> | undefined
  private ended = false

  private constructor (request: IncomingMessage, replayBytes: number) {
    this.request = request
    this.replayBytes = replayBytes
    this.empty = request.headers['transfer-encoding'] === undefined && (request.headers['content-length'] ?? '0') === '0'
  }

  static create (request: IncomingMessage, replayBytes: number): RequestBody {
    return new RequestBody(request, replayBytes)
  }

  get replayable (): boolean {
    return !this.overflowed
  }

  async * read (): AsyncIterable<Uint8Array> {
    if (this.overflowed) throw new Error('body bytes are no longer held')
    yield * this.held
    while (!this.ended) {
      this.reading ??= this.request.iterator({ destroyOnReturn: false }) as AsyncIterator<Uint8Array>
      const next = await this.reading.next()
      if (next.done === true) {
        this.ended = true
        return
      }
      this.hold(next.value)
      yield next.value
    }
  }

  private hold (chunk: Uint8Array): void {
    if (this.overflowed) return
    this.heldBytes += chunk.length
    if (this.heldBytes > this.replayBytes) {
      this.overflowed = true
      this.held = []
      return
    }
    this.held.push(chunk)
  }
}
