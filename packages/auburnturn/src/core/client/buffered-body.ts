import type { Body } from '../call/types.js'

/** A request body that is buffered completely, so that it can be sent again. */
export class BufferedBody implements Body {
  readonly replayable = true
  readonly bufferedBytes: Uint8Array

  private constructor (bytes: Uint8Array) {
    this.bufferedBytes = bytes
  }

  static create (body: string | Uint8Array = ''): BufferedBody {
    return new BufferedBody(typeof body === 'string' ? Buffer.from(body) : body)
  }

  get empty (): boolean {
    return this.bufferedBytes.length === 0
  }

  async * read (): AsyncIterable<Uint8Array> {
    if (!this.empty) yield this.bufferedBytes
  }
}
