import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import { isAnswerToAttempt } from '../attribution/index.js'
import { ConnectionPool, exchange } from '../exchange/index.js'
import type { BodyLimits } from '../bodies/index.js'
import type { Exchange, ExchangeResult } from '../exchange/index.js'
import type { RunningRequest } from '../quarantine/index.js'
import { mayHaveRun, notRun, rejected } from '../requests/index.js'
import type { AnswerHead, Job, Outcome, Protocol } from '../requests/index.js'
import { classifyAnswer, isRefusal } from './classify-answer.js'
import { connectTimeoutMs, maxConnections, maxNonIdempotentIdleMs } from './constants.js'
import type { CrashMonitor } from './crash-monitor.js'

/** Sends requests to the target on this VM and decides from what comes back whether they ran. */
export class TargetSender {
  private readonly options: TargetSenderOptions
  private readonly connections: ConnectionPool

  private constructor (options: TargetSenderOptions) {
    const { address, clock, bodyLimits } = options
    this.options = options
    this.connections = ConnectionPool.create({ address, limit: maxConnections, clock, bodyLimits })
  }

  static create (options: TargetSenderOptions): TargetSender {
    return new TargetSender(options)
  }

  /** Sends a request that only the incarnation `target` may run. Rejects only if the head of the request can't be written. */
  async send (job: Job, target: string, running: RunningRequest, signal: CancelSignal): Promise<Outcome> {
    const { clock, crashMonitor } = this.options
    const timeoutMs = job.deadlineAt - clock.now()
    if (timeoutMs <= 0) return notRun('expired')
    if (!job.idempotent) this.connections.closeIdleLongerThan(maxNonIdempotentIdleMs)
    crashMonitor.start(running)
    const result = await this.exchange(job, target, timeoutMs, signal).catch(error => {
      crashMonitor.cancel(running)
      throw error
    })
    const crashed = await crashMonitor.end(running, result)
    return crashed ? mayHaveRun('crashed') : this.processResult(result)
  }

  /** Closes all connections. */
  close (): void {
    this.connections.close()
  }

  private async exchange (job: Job, target: string, timeoutMs: number, signal: CancelSignal): Promise<ExchangeResult> {
    const { clock, protocol } = this.options
    return await (this.options.exchange ?? exchange)({
      connections: this.connections,
      clock,
      method: job.method,
      path: job.path,
      headers: protocol.writeRequest(job.headers, { id: job.id, timeoutMs, caller: job.caller, target }),
      body: job.body,
      connectMs: connectTimeoutMs,
      timeoutMs,
      signal,
      completesOnceSent: !job.idempotent,
      belongs: ({ status, headers }) => isAnswerToAttempt(job.id, protocol.readAnswer(status, headers).id)
    })
  }

  /** Decides whether a request ran, and reports what the result shows of the target. */
  private processResult (result: ExchangeResult): Outcome {
    const { protocol, onRefused, onAnswer, estimateRetryAfterMs } = this.options
    if (result.kind === 'unsent') {
      if (result.cause === 'connect-failed') onRefused()
      return result.cause === 'left' ? notRun('left') : notRun('unreachable')
    }
    if (result.kind === 'lost') {
      // The other connections may have become unresponsive together with this one.
      if (result.cause === 'timeout') this.connections.closeIdle()
      return mayHaveRun(result.cause)
    }
    const { status, headers, body } = result
    const head = protocol.readAnswer(status, headers)
    onAnswer(head)
    if (isRefusal(status, head)) return rejected(result, head, estimateRetryAfterMs())
    return classifyAnswer({ status, headers: protocol.filterAnswer(headers), body, head })
  }
}

interface TargetSenderOptions {
  /** `IP:PORT`. */
  readonly address: string
  readonly clock: Clock
  /** Bounds the memory of the answers together with all other bodies. */
  readonly bodyLimits: BodyLimits
  readonly protocol: Protocol
  readonly crashMonitor: CrashMonitor
  /** Sends a request; over HTTP by default. */
  readonly exchange?: Exchange
  /** Called when the target refuses a connection. */
  readonly onRefused: () => void
  /** Called with the head of each answer of the target. */
  readonly onAnswer: (head: AnswerHead) => void
  /** Returns the delay before a refused request is sent again, in milliseconds. */
  readonly estimateRetryAfterMs: () => number
}
