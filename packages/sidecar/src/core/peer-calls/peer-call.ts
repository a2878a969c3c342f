import type { Socket } from 'node:net'
import type { Timeout } from 'auburnturn/core/clock'
import { attributeAnswer, numberCall } from '../attribution/index.js'
import { maxAnswerBodyBytes } from './constants.js'
import { writeFrame } from './frame.js'
import { FrameReader } from './frame-reader.js'
import type { PeerConnectionPool } from './peer-connection-pool.js'
import type { PeerCallOptions, PeerCallResult } from './types.js'

/** Sends one call to another node and receives its whole answer. Never rejects. */
export async function callPeer (connections: PeerConnectionPool, options: PeerCallOptions): Promise<PeerCallResult> {
  return await new Promise(resolve => { ActiveCall.start(connections, options, resolve) })
}

/** Progress of a call: connecting, sent (bytes of it may have been written), or ended. */
type Stage = 'connecting' | 'sent' | 'ended'

/** One call in flight on one connection. */
class ActiveCall {
  private readonly connections: PeerConnectionPool
  private readonly options: PeerCallOptions
  private readonly resolve: (result: PeerCallResult) => void
  private readonly socket: Socket
  private readonly reader: FrameReader
  private readonly deadlineAt: number
  private stage: Stage = 'connecting'
  private timer: Timeout | undefined
  private readonly handleConnect = (): void => { this.send() }
  private readonly handleData = (chunk: Buffer): void => { this.receive(chunk) }
  private readonly handleClose = (): void => { this.handleClosed() }
  private readonly handleAbort = (): void => { this.abort('left') }

  private constructor (connections: PeerConnectionPool, socket: Socket, options: PeerCallOptions, resolve: (result: PeerCallResult) => void) {
    this.connections = connections
    this.options = options
    this.resolve = resolve
    this.socket = socket
    this.deadlineAt = options.clock.now() + options.timeoutMs
    this.reader = FrameReader.create({ source: socket, bodyLimits: options.bodyLimits, maxBodyBytes: () => maxAnswerBodyBytes, onEvict: () => { this.abort('invalid') } })
  }

  static start (connections: PeerConnectionPool, options: PeerCallOptions, resolve: (result: PeerCallResult) => void): void {
    if (options.signal.aborted) return resolve({ kind: 'unsent', cause: 'left' })
    const socket = connections.take()
    if (socket === undefined) return resolve({ kind: 'unsent', cause: 'connect-failed' })
    const call = new ActiveCall(connections, socket, options, resolve)
    options.signal.addEventListener('abort', call.handleAbort, { once: true })
    socket.on('data', call.handleData)
    socket.on('close', call.handleClose)
    if (socket.connecting) call.awaitConnection()
    else call.send()
  }

  private awaitConnection (): void {
    const connectMs = Math.min(this.options.connectMs, this.options.timeoutMs)
    this.timer = this.options.clock.timerWheel.after(connectMs, () => { this.abort('timeout') })
    this.socket.once('connect', this.handleConnect)
  }

  private send (): void {
    this.stage = 'sent'
    this.timer?.cancel()
    const remainingMs = this.deadlineAt - this.options.clock.now()
    this.timer = this.options.clock.timerWheel.after(remainingMs, () => { this.abort('timeout') })
    const { frame, mark } = this.options
    writeFrame(this.socket, { fields: numberCall(mark.number, frame.fields), body: frame.body })
  }

  private receive (chunk: Buffer): void {
    const result = this.reader.read(chunk)
    if (result === 'partial') return
    if (result === 'invalid') return this.abort('invalid')
    const fields = attributeAnswer(this.options.mark, result.fields)
    if (fields === undefined) return this.abort('foreign')
    this.finish({ kind: 'answer', frame: { fields, body: result.body } })
    this.connections.release(this.socket)
  }

  private handleClosed (): void {
    if (this.stage === 'connecting') return this.finish({ kind: 'unsent', cause: 'connect-failed' })
    this.finish({ kind: 'lost', cause: this.reader.empty ? 'reset' : 'cut' })
  }

  /** Ends the call immediately and closes its connection. */
  private abort (cause: 'timeout' | 'left' | 'invalid' | 'foreign'): void {
    if (this.stage === 'sent') this.finish({ kind: 'lost', cause })
    else if (cause === 'left') this.finish({ kind: 'unsent', cause })
    else this.finish({ kind: 'unsent', cause: this.deadlineAt > this.options.clock.now() ? 'connect-timeout' : 'timeout' })
    this.socket.destroy()
  }

  private finish (result: PeerCallResult): void {
    if (this.stage === 'ended') return
    this.stage = 'ended'
    this.timer?.cancel()
    this.reader.discard()
    this.options.signal.removeEventListener('abort', this.handleAbort)
    this.socket.removeListener('data', this.handleData)
    this.socket.removeListener('close', this.handleClose)
    this.socket.removeListener('connect', this.handleConnect)
    this.resolve(result)
  }
}
