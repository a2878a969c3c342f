import type { Socket } from 'node:net'
import { writeEndless } from '../endless-message.js'
import type { EndlessMessage } from '../endless-message.js'
import type { ReceivedRequest } from '../stand-in-target.js'
import type { RepetitionWrites } from './repetition-placements.js'
import { RequestReader } from './request-reader.js'
import { serializeMessage } from './written-message.js'
import type { WrittenMessage } from './written-message.js'

/** How a target handles the requests of a connection. */
export interface ConnectionHandler {
  /** Handles a request; `reachMiddle` is called in the middle of its run. */
  readonly handle: (request: ReceivedRequest, reachMiddle: () => void, closed: AbortSignal) => Promise<WrittenMessage | EndlessMessage>
  /** Whether an answer to this request may be written once more, or disturbed by an earlier one. */
  readonly isRepeatable: (request: ReceivedRequest) => boolean
  /** Chooses what is written once more around the answer to the next request; undefined for nothing. */
  readonly chooseRepetition: (earlier: readonly WrittenMessage[]) => RepetitionChoice | undefined
}

/** What is written around the answer to a request; it is called with an empty id while the request is not known yet. */
export type RepetitionChoice = (presentId: string) => RepetitionWrites

/** Time after an answer until bytes are written on the idle connection, in milliseconds. */
const idleDelayMs = 1

/** Time until an idle connection is closed, in milliseconds; announced in whole seconds. */
const idleTimeoutMs = 5_000

const nothing: RepetitionChoice = () => ({})

/** One connection of a `RepeatingTarget`, which serves one request at a time. */
export class TargetConnection {
  private readonly socket: Socket
  private readonly handler: ConnectionHandler
  private readonly reader = RequestReader.create()
  private readonly queue: ReceivedRequest[] = []
  private readonly earlier: WrittenMessage[] = []
  private readonly closing = new AbortController()
  private choice = nothing
  private busy = false

  private constructor (socket: Socket, handler: ConnectionHandler) {
    this.socket = socket
    this.handler = handler
    socket.setNoDelay(true)
    socket.setTimeout(idleTimeoutMs, () => { if (!this.busy) socket.destroy() })
    socket.on('error', () => {})
    socket.on('end', () => { this.closing.abort() })
    socket.on('close', () => { this.closing.abort() })
    socket.on('data', (bytes: Buffer) => { this.receive(bytes) })
  }

  static create (socket: Socket, handler: ConnectionHandler): TargetConnection {
    return new TargetConnection(socket, handler)
  }

  close (): void {
    this.socket.destroy()
  }

  private receive (bytes: Buffer): void {
    this.queue.push(...this.reader.read(bytes))
    if (!this.busy) this.serveQueue().catch(() => { this.close() })
  }

  private async serveQueue (): Promise<void> {
    this.busy = true
    for (let request = this.queue.shift(); request !== undefined; request = this.queue.shift()) await this.serve(request)
    this.busy = false
  }

  private async serve (request: ReceivedRequest): Promise<void> {
    const repeatable = this.handler.isRepeatable(request)
    const writes = repeatable ? this.choice(request.id) : {}
    if (writes.atRead !== undefined) this.write(writes.atRead)
    let middleWritten = false
    const reachMiddle = (): void => {
      if (!middleWritten && writes.duringRun !== undefined) this.write(writes.duringRun)
      middleWritten = true
    }
    const message = await this.handler.handle(request, reachMiddle, this.closing.signal)
    reachMiddle()
    if (message.kind === 'endless') return writeEndless(this.socket, message)
    const answer = serializeMessage(message)
    await this.writeSegments(writes.answer?.(answer) ?? [answer])
    if (message.framing === 'none') this.socket.end()
    if (!repeatable) return
    this.earlier.push(message)
    this.chooseNext()
  }

  /** Prepares the writes around the next answer. */
  private chooseNext (): void {
    this.choice = this.handler.chooseRepetition(this.earlier) ?? nothing
    const { whileIdle } = this.choice('')
    if (whileIdle !== undefined) setTimeout(() => { this.write(whileIdle) }, idleDelayMs)
  }

  /** Writes segments one by one, so that the receiver reads them apart. */
  private async writeSegments (segments: readonly Buffer[]): Promise<void> {
    for (const [index, segment] of segments.entries()) {
      if (index > 0) await waitForReceiver()
      this.write(segment)
    }
  }

  private write (bytes: Buffer): void {
    if (this.socket.writable && bytes.length > 0) this.socket.write(bytes)
  }
}

/** Resolves after a whole round of the event loop, in which a receiver in the same process reads what was written. */
async function waitForReceiver (): Promise<void> {
  for (let round = 0; round < 2; round++) await new Promise(resolve => { setImmediate(resolve) })
}
