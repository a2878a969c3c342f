import type { IncomingMessage, ServerResponse } from 'node:http'
import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import type { CurrentConfiguration, Route } from '../configuration/index.js'
import type { BodyMemory } from '../exchange/index.js'
import { notRun } from '../own-target/index.js'
import type { Job, Outcome } from '../own-target/index.js'
import { retryAfterShare, unknownRetryMs } from './constants.js'
import type { Forwarder } from './forwarder.js'
import { formatRetryAfter } from './outcome-headers.js'
import { readBody } from './request-body.js'
import { respond, statusOf } from './respond.js'
import type { Protocol, RequestHead } from './types.js'

const empty = Buffer.alloc(0)

/** Takes requests of the callers on this VM. */
export class Ingress {
  private readonly options: IngressOptions
  /** Longest time that callers of each route were seen to wait, in milliseconds: who waits for less comes back. */
  private readonly longestWaits = new Map<string, number>()
  private readonly underWay = new Set<Cancellation>()

  private constructor (options: IngressOptions) {
    this.options = options
  }

  static create (options: IngressOptions): Ingress {
    return new Ingress(options)
  }

  /** Serves one request. */
  async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, configuration, protocol } = this.options
    const arrivedAt = clock.now()
    const head = protocol.readRequest(request.rawHeaders)
    if (this.options.isClosed()) return this.finish(response, head, undefined, arrivedAt, notRun('closed', unknownRetryMs))
    if (!configuration.known) return this.finish(response, head, undefined, arrivedAt, notRun('no-configuration', unknownRetryMs))
    if (countBytes(request.rawHeaders) > (configuration.limits?.maxHeaderBytes ?? Infinity)) return this.reject(response, head, 431, 'head-too-large')
    const route = configuration.findRoute(request.headers.host ?? '', request.url ?? '/')
    if (route === undefined) return this.reject(response, head, 404, 'no-route')
    const cancellation = Cancellation.create()
    response.once('close', () => { cancellation.abort() })
    const read = await readBody(request, { maxBytes: configuration.limits?.maxBodyBytes ?? Infinity, memory: this.options.memory })
    if (read.kind === 'too-large') return this.reject(response, head, 413, 'body-too-large')
    if (read.kind === 'cut') return
    if (read.kind === 'no-memory') {
      response.shouldKeepAlive = false
      return this.finish(response, head, undefined, arrivedAt, notRun('no-memory', unknownRetryMs))
    }
    const job = this.createJob(request, head, route, arrivedAt, read.body)
    this.underWay.add(cancellation)
    const outcome = await this.options.forwarder.run(job, route, cancellation)
    this.underWay.delete(cancellation)
    this.finish(response, head, job, arrivedAt, outcome)
  }

  /** Ends all requests under way; each is answered with what is known of it. */
  cancel (): void {
    for (const cancellation of this.underWay) cancellation.abort()
  }

  private createJob (request: IncomingMessage, head: RequestHead, route: Route, arrivedAt: number, body: Buffer): Job {
    const { configuration, service } = this.options
    const waitMs = head.timeoutMs ?? route.timeoutMs
    return {
      id: head.id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.rawHeaders,
      body,
      route: route.name,
      service: configuration.pickService(route),
      caller: service,
      idempotent: route.kind === 'idempotent',
      objectiveMs: route.objectiveMs,
      priority: route.priority,
      patient: false,
      wantedBy: arrivedAt + route.objectiveMs - this.spentMs(route.name, waitMs),
      endsAt: arrivedAt + Math.min(waitMs, route.timeoutMs)
    }
  }

  /** Time that a caller has waited in earlier attempts, as far as its remaining wait shows it. */
  private spentMs (route: string, waitMs: number): number {
    const longest = Math.max(waitMs, this.longestWaits.get(route) ?? 0)
    this.longestWaits.set(route, longest)
    return longest - waitMs
  }

  private reject (response: ServerResponse, head: RequestHead, status: number, cause: string): void {
    const { logger, metrics, configuration } = this.options
    metrics.count('calls_total', { verdict: 'not-run', cause })
    logger.info('request-rejected', { request: head.id, status, cause, version: configuration.version })
    // A head is over with its last byte; the rest of a body would be taken for the next request.
    respond(response, status, status === 413 ? ['connection', 'close'] : [], empty)
  }

  private finish (response: ServerResponse, head: RequestHead, job: Job | undefined, arrivedAt: number, outcome: Outcome): void {
    const { clock, logger, metrics, protocol, isLeaving, configuration } = this.options
    const now = clock.now()
    if (isLeaving()) response.shouldKeepAlive = false
    metrics.recordDuration('call_seconds', now - arrivedAt)
    if (outcome.kind === 'answer') {
      metrics.count('calls_total', { verdict: 'done', cause: outcome.status < 500 ? 'none' : 'failed-at-target' })
      return respond(response, outcome.status, protocol.passAnswer(outcome.headers), outcome.body)
    }
    metrics.count('calls_total', { verdict: outcome.kind, cause: outcome.cause })
    const status = statusOf(outcome)
    logger.info('request-failed', { request: head.id, status, cause: outcome.cause, route: job?.route, service: job?.service, tookMs: Math.round(now - arrivedAt), gone: response.destroyed, version: configuration.version })
    const leftMs = (head.timeoutMs ?? 0) - (now - arrivedAt)
    const headers = outcome.kind === 'not-run' ? ['retry-after', formatRetryAfter(Math.min(outcome.retryAfterMs, leftMs * retryAfterShare))] : []
    respond(response, status, headers, empty)
  }
}

function countBytes (headers: readonly string[]): number {
  return headers.reduce((bytes, text) => bytes + text.length + 2, 0)
}

interface IngressOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly protocol: Protocol
  readonly configuration: CurrentConfiguration
  readonly forwarder: Forwarder
  /** Bounds the bodies of requests, with those of answers. */
  readonly memory: BodyMemory
  /** Service of the upstream on this VM. */
  readonly service: string
  /** Whether callers are asked to close their connections. */
  readonly isLeaving: () => boolean
  /** Whether no request is taken any more. */
  readonly isClosed: () => boolean
}
