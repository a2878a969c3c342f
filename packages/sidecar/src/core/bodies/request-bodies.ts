import type { BodyMemory, HeldBody } from './body-memory.js'

/** The whole bodies of one request, its own and that of its answer: they take memory while the request waits, runs and is answered. */
export class RequestBodies {
  private readonly memory: BodyMemory
  private readonly held: HeldBody = { bytes: 0, evict: undefined }

  private constructor (memory: BodyMemory) {
    this.memory = memory
  }

  static create (memory: BodyMemory): RequestBodies {
    return new RequestBodies(memory)
  }

  /** Counts one more body. */
  add (body: Buffer): void {
    if (body.length > 0) this.memory.update(this.held, this.held.bytes + body.length)
  }

  /** Counts the bodies no more, once the answer is sent. */
  release (): void {
    this.memory.release(this.held)
  }
}
