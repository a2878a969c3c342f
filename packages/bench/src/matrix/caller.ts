import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryRecorder } from './history-recorder.js'

/** Pause between the parts of a request body, in milliseconds. */
const bodyPartPauseMs = 6

/** Longest wait of a caller for anything at all, in milliseconds. */
const callerTimeoutMs = 4_000

/** The two parts of a request body. */
export const bodyParts = ['first-part;', 'second-part'] as const

/** How a call may repeat. */
export type CallKind = 'idempotent' | 'plain' | 'ticketed'

/** What one sending came to, as its caller sees it. */
export type CallerOutcome = 'answered' | 'not-run' | 'may-have-run' | 'cut' | 'lost'

/** What a caller sends. */
export interface CallRequest {
  readonly name: string
  readonly call: string
  readonly kind: CallKind
  /** Address of the node, and the path there. */
  readonly ip: string
  readonly port: number
  readonly path: string
  readonly timeoutMs: number
  readonly headers?: Readonly<Record<string, string>>
}

/** A customer's program that sends calls and records what it is told. */
export class Caller {
  private readonly agent = new Agent({ connections: 32, pipelining: 1, headersTimeout: callerTimeoutMs, bodyTimeout: callerTimeoutMs })
  private readonly recorder: HistoryRecorder
  private readonly pending = new Set<Promise<CallerOutcome>>()

  private constructor (recording: HistoryRecorder) {
    this.recorder = recording
  }

  static create (recording: HistoryRecorder): Caller {
    return new Caller(recording)
  }

  /** Sends once and reads the answer to its end. */
  async send (sending: CallRequest): Promise<CallerOutcome> {
    const told = this.sendOnce(sending)
    this.pending.add(told)
    return await told.finally(() => { this.pending.delete(told) })
  }

  private async sendOnce (sending: CallRequest): Promise<CallerOutcome> {
    const { name, call, kind, timeoutMs } = sending
    this.recorder.add({ kind: 'call-sent', sending: name, call, idempotent: kind === 'idempotent', ticketed: kind === 'ticketed', timeoutMs })
    try {
      return await this.recordResponse(name, await this.sendRequest(sending))
    } catch {
      this.recorder.add({ kind: 'caller-left', sending: name })
      return 'lost'
    }
  }

  /** A ticket from the node at an address; undefined when it has none. */
  async fetchTicket (ip: string, port: number): Promise<string | undefined> {
    const answer = await this.agent.request({ origin: formatOrigin(ip, port), method: 'POST', path: '/~orders/.well-known/auburnturn/ticket' }).catch(() => undefined)
    await answer?.body.dump()
    const ticket = answer?.headers['auburnturn-ticket']
    return typeof ticket === 'string' ? ticket : undefined
  }

  /** Waits for what is still out, so that this caller itself cuts nothing. */
  async close (): Promise<void> {
    await Promise.all(this.pending)
    await this.agent.destroy()
  }

  private async sendRequest ({ name, call, kind, ip, port, path, headers }: CallRequest): Promise<Dispatcher.ResponseData> {
    const words = { 'x-sending': name, 'x-call': call, ...headers }
    if (kind === 'idempotent') return await this.agent.request({ origin: formatOrigin(ip, port), method: 'GET', path, headers: words })
    const length = String(bodyParts.join('').length)
    return await this.agent.request({ origin: formatOrigin(ip, port), method: 'POST', path, headers: { ...words, 'content-length': length }, body: streamBodyParts() as never })
  }

  private async recordResponse (sending: string, answer: Dispatcher.ResponseData): Promise<CallerOutcome> {
    const verdict = answer.headers['auburnturn-verdict']
    if (verdict === 'not-run' || verdict === 'may-have-run') {
      await answer.body.dump().catch(() => {})
      this.recorder.add({ kind: 'refused', sending, verdict, cause: String(answer.headers['auburnturn-cause'] ?? '') })
      return verdict
    }
    const execution = String(answer.headers['x-execution'] ?? '')
    this.recorder.add({ kind: 'answer-head', sending, execution })
    const content = await answer.body.text().catch(() => undefined)
    this.recorder.add({ kind: 'answer-ended', sending, execution, whole: content !== undefined, content: content ?? '' })
    return content === undefined ? 'cut' : 'answered'
  }
}

function formatOrigin (ip: string, port: number): string {
  return `http://${ip}:${port}`
}

async function * streamBodyParts (): AsyncIterable<Buffer> {
  yield Buffer.from(bodyParts[0])
  await sleep(bodyPartPauseMs)
  yield Buffer.from(bodyParts[1])
}
