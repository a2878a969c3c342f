import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { Cancellation } from 'auburnturn/core/clock'
import type { CancelSignal } from 'auburnturn/core/clock'
import type { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import { markAnswer, readCall } from '../attribution/index.js'
import { RequestBodies } from '../bodies/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { InFlightRequests } from '../listening/index.js'
import { serverIdleTimeoutMs } from './constants.js'
import { writeFrame } from './frame.js'
import { FrameReader } from './frame-reader.js'
import type { Frame, PeerCallAnswer } from './types.js'

/**
 * Serves one call of another node. Resolves with the answer, or with undefined for a call that can't be understood, whose
 * connection is then closed. The signal is aborted when the calling node closes the connection.
 */
export type PeerCallHandler = (call: Frame, signal: CancelSignal) => Promise<PeerCallAnswer | undefined>

/** Serves the calls of other nodes, one at a time on each connection. */
export class PeerCallServer {
  private readonly options: PeerCallServerOptions
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  private constructor (options: PeerCallServerOptions) {
    this.options = options
    this.server = createServer({ noDelay: true }, socket => { this.accept(socket) })
  }

  /** Resolves when the server listens; rejects if it can't. */
  static async create (options: PeerCallServerOptions): Promise<PeerCallServer> {
    const created = new PeerCallServer(options)
    await new Promise<void>((resolve, reject) => { created.server.once('error', reject).listen(options.port, options.ip, resolve) })
    return created
  }

  async close (): Promise<void> {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    const { bodyLimits, maxBodyBytes } = this.options
    let cancellation: Cancellation | undefined
    const reader = FrameReader.create({ source: socket, bodyLimits, maxBodyBytes, onEvict: () => { socket.destroy() } })
    this.sockets.add(socket)
    // Errors are followed by 'close'.
    socket.on('error', () => {})
    socket.setTimeout(serverIdleTimeoutMs, () => { if (cancellation === undefined) socket.destroy() })
    socket.on('data', chunk => {
      // The calling node sends the next call only after the answer to this one.
      const call = cancellation === undefined ? reader.read(chunk) : 'invalid'
      if (call === 'partial') return
      if (call === 'invalid') {
        socket.destroy()
        return
      }
      cancellation = Cancellation.create()
      const bodies = RequestBodies.create(bodyLimits.memory)
      bodies.add(call.body)
      const served = this.serve(call, socket, cancellation, bodies, () => { cancellation = undefined }).finally(() => { bodies.release() })
      this.track(served, socket)
    })
    socket.once('end', () => { cancellation?.abort() })
    socket.once('close', () => {
      this.sockets.delete(socket)
      reader.discard()
      cancellation?.abort()
    })
  }

  /** Counts a call as in flight; closes its connection if it rejects. */
  private track (served: Promise<void>, socket: Socket): void {
    const { inFlightRequests, logger } = this.options
    inFlightRequests.track(served).catch((error: unknown) => {
      logger.error('peer-call-failed', { error: error instanceof Error ? error.stack : String(error) })
      socket.destroy()
    })
  }

  /**
   * Resolves when the answer has been handed to the operating system; `onAnswer` is called before it is sent. Closes the connection of
   * a call that can't be understood, whose sender then takes it as one that may have run. Ignores a call whose sender has already left.
   */
  private async serve (frame: Frame, socket: Socket, signal: CancelSignal, bodies: RequestBodies, onAnswer: () => void): Promise<void> {
    await this.options.pendingInput.read()
    if (signal.aborted) return
    const call = readCall(frame.fields)
    const answer = call === undefined ? undefined : await this.options.handle({ fields: call.fields, body: frame.body }, signal)
    onAnswer()
    if (call === undefined || answer === undefined) {
      socket.destroy()
      return
    }
    if (socket.destroyed) return
    bodies.add(answer.body)
    await write(socket, { fields: markAnswer({ number: call.number, request: answer.request }, answer.fields), body: answer.body })
  }
}

/** Resolves when the bytes have been handed to the operating system, or when the connection has closed. */
async function write (socket: Socket, frame: Frame): Promise<void> {
  await new Promise<void>(resolve => { writeFrame(socket, frame, resolve) })
}

interface PeerCallServerOptions {
  readonly ip: string
  readonly port: number
  readonly handle: PeerCallHandler
  readonly bodyLimits: BodyLimits
  /** Returns the maximum size of the body of a call, in bytes. */
  readonly maxBodyBytes: () => number
  readonly inFlightRequests: InFlightRequests
  readonly pendingInput: PendingInput
  readonly logger: Logger
}
