import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryRecorder } from './history-recorder.js'

/** Pause between the two parts of a request body, in milliseconds. */
const bodyPartPauseMs = 6

/** Timeout of the caller for response headers and for each pause in the body, in milliseconds. */
const callerTimeoutMs = 4_000

/** The two parts in which the body of a POST request is sent. */
export const bodyParts = ['first-part;', 'second-part'] as const

/** Whether and how a call may be retried: as an idempotent GET, not at all, or under a ticket. */
export type CallKind = 'idempotent' | 'plain' | 'ticketed'

/**
 * Outcome of one request as its caller sees it: a complete response, a refusal with its verdict, a response that was
 * truncated (`cut`), or no response at all (`lost`).
 */
export type CallerOutcome = 'answered' | 'not-run' | 'may-have-run' | 'cut' | 'lost'

/** One HTTP request that carries a call; a resend of the call is another request. */
export interface CallRequest {
  /** Unique name of the request: the name of its call, a slash and the number of the request. */
  readonly name: string
  readonly call: string
  readonly kind: CallKind
  /** Address of the node that receives the request. */
  readonly ip: string
  readonly port: number
  readonly path: string
  readonly timeoutMs: number
  readonly headers?: Readonly<Record<string, string>>
}

/** HTTP client in place of a customer's program: it sends requests and records their outcomes. */
export class Caller {
  private readonly agent = new Agent({ connections: 32, pipelining: 1, headersTimeout: callerTimeoutMs, bodyTimeout: callerTimeoutMs })
  private readonly recorder: HistoryRecorder
  private readonly pending = new Set<Promise<CallerOutcome>>()

  private constructor (recorder: HistoryRecorder) {
    this.recorder = recorder
  }

  static create (recorder: HistoryRecorder): Caller {
    return new Caller(recorder)
  }

  /** Sends a request once and reads the response to its end. */
  async send (request: CallRequest): Promise<CallerOutcome> {
    const outcome = this.sendOnce(request)
    this.pending.add(outcome)
    return await outcome.finally(() => { this.pending.delete(outcome) })
  }

  private async sendOnce (request: CallRequest): Promise<CallerOutcome> {
    const { name, call, kind, timeoutMs } = request
    this.recorder.add({ kind: 'call-sent', sending: name, call, idempotent: kind === 'idempotent', ticketed: kind === 'ticketed', timeoutMs })
    try {
      return await this.recordResponse(name, await this.sendRequest(request))
    } catch {
      this.recorder.add({ kind: 'caller-left', sending: name })
      return 'lost'
    }
  }

  /** Requests a ticket from the node at an address; undefined if the node issues none or the request fails. */
  async fetchTicket (ip: string, port: number): Promise<string | undefined> {
    const answer = await this.agent.request({ origin: formatOrigin(ip, port), method: 'POST', path: '/~orders/.well-known/auburnturn/ticket' }).catch(() => undefined)
    await answer?.body.dump()
    const ticket = answer?.headers['auburnturn-ticket']
    return typeof ticket === 'string' ? ticket : undefined
  }

  /** Waits for the requests in flight before closing, so that the caller itself aborts none of them. */
  async close (): Promise<void> {
    await Promise.all(this.pending)
    await this.agent.destroy()
  }

  private async sendRequest ({ name, call, kind, ip, port, path, headers }: CallRequest): Promise<Dispatcher.ResponseData> {
    const requestHeaders = { 'x-sending': name, 'x-call': call, ...headers }
    if (kind === 'idempotent') return await this.agent.request({ origin: formatOrigin(ip, port), method: 'GET', path, headers: requestHeaders })
    const length = String(bodyParts.join('').length)
    return await this.agent.request({ origin: formatOrigin(ip, port), method: 'POST', path, headers: { ...requestHeaders, 'content-length': length }, body: streamBodyParts() as never })
  }

  private async recordResponse (requestName: string, answer: Dispatcher.ResponseData): Promise<CallerOutcome> {
    const verdict = answer.headers['auburnturn-verdict']
    if (verdict === 'not-run' || verdict === 'may-have-run') {
      await answer.body.dump().catch(() => {})
      this.recorder.add({ kind: 'refused', sending: requestName, verdict, cause: String(answer.headers['auburnturn-cause'] ?? '') })
      return verdict
    }
    const execution = String(answer.headers['x-execution'] ?? '')
    this.recorder.add({ kind: 'answer-head', sending: requestName, execution })
    const content = await answer.body.text().catch(() => undefined)
    this.recorder.add({ kind: 'answer-ended', sending: requestName, execution, whole: content !== undefined, content: content ?? '' })
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
