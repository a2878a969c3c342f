import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { createEndlessMessage } from '../endless-message.js'
import type { EndlessMessage, EndlessPart } from '../endless-message.js'
import type { ReceivedRequest } from '../stand-in-target.js'
import { TargetConnection } from './target-connection.js'
import type { ConnectionHandler, RepetitionChoice } from './target-connection.js'
import type { Header, IdPosition, Framing, WrittenMessage } from './written-message.js'
import { insertIdHeader } from './written-message.js'

/** What a request that ran is answered with. */
export interface RunResult {
  readonly status: number
  readonly seal: string
  readonly body: string
  /** The part of the answer that has no end; by default, all parts end. */
  readonly endless?: EndlessPart | undefined
}

/** Layout of the next answer or refusal. */
export interface MessageLayout {
  readonly idPosition: IdPosition
  readonly framing: Framing
}

/** Options of a `RepeatingTarget`. */
export interface RepeatingTargetOptions {
  readonly id: string
  readonly ip: string
  readonly port: number
  /** Whether the target refuses a request, with the mark that it has not run. */
  readonly refuses: (request: ReceivedRequest) => boolean
  /** Runs a request; calls `reachMiddle` in the middle of the run. */
  readonly run: (request: ReceivedRequest, reachMiddle: () => void, closed: AbortSignal) => Promise<RunResult>
  /** Chooses the layout of the next message. */
  readonly chooseLayout?: () => MessageLayout
}

/** Chooses what a connection writes once more around its next answer, from what it wrote before; undefined for nothing. */
export type RepetitionSelector = (earlier: readonly WrittenMessage[]) => RepetitionChoice | undefined

/** Content of each piece of an answer without an end, in bytes. */
const endlessPieceBytes = 8

const commonLayout: MessageLayout = { idPosition: 'first', framing: 'length' }

/**
 * Substitute for an application target that writes raw bytes to its TCP connections. With a fault it writes a refusal or an
 * answer once more that it wrote before on the same connection, whole or in part, at a moment that the test chooses.
 */
export class RepeatingTarget {
  readonly id: string
  /** Number of requests in progress that the load header reports. */
  running = 0
  /** Headers of all its answers with which it states demands, such as a rate limit. */
  demands: Readonly<Record<string, string>> = {}
  /** Requests that began to run. */
  readonly receivedRequests: ReceivedRequest[] = []
  /** The fault: nothing is written once more by default. */
  selectRepetition: RepetitionSelector = () => undefined
  private readonly options: RepeatingTargetOptions
  private readonly server: Server
  private readonly connections = new Set<TargetConnection>()

  private constructor (options: RepeatingTargetOptions) {
    this.options = options
    this.id = options.id
    const handler: ConnectionHandler = {
      handle: async (request, reachMiddle, closed) => await this.handle(request, reachMiddle, closed),
      isRepeatable: ({ path }) => path !== '/health',
      chooseRepetition: earlier => this.selectRepetition(earlier)
    }
    this.server = createServer({ allowHalfOpen: false }, socket => {
      const connection = TargetConnection.create(socket, handler)
      this.connections.add(connection)
      socket.on('close', () => { this.connections.delete(connection) })
    })
  }

  static async create (options: RepeatingTargetOptions): Promise<RepeatingTarget> {
    const target = new RepeatingTarget(options)
    await new Promise<void>((resolve, reject) => { target.server.once('error', reject).listen(options.port, options.ip, resolve) })
    return target
  }

  /** Value of the load header: running requests, queued requests, slots, service time as a percentage of the usual one. */
  get load (): string {
    return `${this.running},0,8,100`
  }

  /** Closes the open connections, and with them what was to be written on them once more. */
  closeConnections (): void {
    for (const connection of this.connections) connection.close()
  }

  close (): void {
    this.server.close()
    this.closeConnections()
  }

  private async handle (request: ReceivedRequest, reachMiddle: () => void, closed: AbortSignal): Promise<WrittenMessage | EndlessMessage> {
    if (request.path === '/health') return { kind: 'answer', status: 200, headers: this.commonHeaders, body: '', framing: 'length' }
    if (request.headers['x-expect-instance'] !== this.id) return this.createRefusal(request.id, 421)
    if (this.options.refuses(request)) return this.createRefusal(request.id, 503)
    this.receivedRequests.push(request)
    this.running++
    const { status, seal, body, endless } = await this.options.run(request, reachMiddle, closed)
    this.running--
    const { idPosition, framing } = this.chooseLayout()
    const headers = insertIdHeader([['X-Response-Seal', seal], ...this.commonHeaders], request.id, idPosition)
    return endless === undefined ? { kind: 'answer', status, headers, body, framing } : createEndlessMessage(endless, headers, endlessPieceBytes)
  }

  private createRefusal (id: string, status: number): WrittenMessage {
    const { idPosition } = this.chooseLayout()
    const headers = insertIdHeader([['X-Not-Executed', '1'], ...this.commonHeaders], id, idPosition)
    return { kind: 'refusal', status, headers, body: 'full', framing: 'length' }
  }

  private chooseLayout (): MessageLayout {
    return this.options.chooseLayout?.() ?? commonLayout
  }

  private get commonHeaders (): Header[] {
    return [['X-Instance-Id', this.id], ['X-Server-Load', this.load], ['Keep-Alive', 'timeout=5'], ...Object.entries(this.demands)]
  }
}
