import type { IncomingMessage, ServerResponse } from 'node:http'
import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import { ConnectionCancellations, discardRemainingBody, hasSpacedName } from 'auburnturn/core/http'
import type { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import type { Metrics } from 'auburnturn/core/metrics'
import type { CurrentConfiguration, Route } from '../configuration/index.js'
import { RequestBodies } from '../bodies/index.js'
import type { BodyLimits } from '../bodies/index.js'
import { waitUntilSent } from '../listening/index.js'
import { describeEvidence, mayHaveRun, notRun } from '../requests/index.js'
import type { Job, Outcome, Protocol, RequestHead } from '../requests/index.js'
import { maxRetryAfterShare, defaultRetryAfterMs } from './constants.js'
import type { Forwarder } from './forwarder.js'
import { formatRetryAfter } from './retry-after.js'
import { readBody } from './request-body.js'
import { respond, chooseStatus } from './respond.js'

const emptyBody = Buffer.alloc(0)

/** A request in flight. */
interface ForwardedRequest {
  readonly cancellation: Cancellation
  /** Answers the request; has no effect when it was answered. */
  readonly resolve: (outcome: Outcome) => void
}

/** Serves the requests of the callers on this VM. */
export class Ingress {
  private readonly options: IngressOptions
  /** Longest timeout in the requests for each route, in milliseconds. A shorter one indicates a retry by the caller. */
  private readonly longestTimeouts = new Map<string, number>()
  private readonly inFlight = new Set<ForwardedRequest>()
  private readonly connections = ConnectionCancellations.create()

  private constructor (options: IngressOptions) {
    this.options = options
  }

  static create (options: IngressOptions): Ingress {
    return new Ingress(options)
  }

  /** Serves one request; resolves when its answer has been sent. */
  async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { memory, pace } = this.options.bodyLimits
    const cancellation = Cancellation.create()
    const bodies = RequestBodies.create(memory)
    this.connections.add(request.socket, cancellation)
    try {
      await this.answer(request, response, cancellation, bodies)
      discardRemainingBody(request, pace)
      await waitUntilSent(request, response)
    } finally {
      this.connections.remove(request.socket, cancellation)
      bodies.release()
    }
  }

  private async answer (request: IncomingMessage, response: ServerResponse, cancellation: Cancellation, bodies: RequestBodies): Promise<void> {
    const { clock, configuration, protocol } = this.options
    const arrivedAt = clock.now()
    const head = protocol.readRequest(request.rawHeaders)
    if (!configuration.isLoaded) return this.finish(response, head, undefined, arrivedAt, notRun('no-configuration', defaultRetryAfterMs))
    if (countHeaderBytes(request.rawHeaders) > (configuration.limits?.maxHeaderBytes ?? Infinity)) return this.reject(response, head, 431, 'head-too-large')
    if (hasSpacedName(request.rawHeaders)) return this.reject(response, head, 400, 'bad-head')
    const route = configuration.findRoute(request.headers.host ?? '', request.url ?? '/')
    if (route === undefined) return this.reject(response, head, 404, 'no-route')
    const read = await readBody(request, { maxBytes: configuration.limits?.maxBodyBytes ?? Infinity, bodyLimits: this.options.bodyLimits })
    if (read.kind === 'too-large') return this.reject(response, head, 413, 'body-too-large')
    if (read.kind === 'cut') return
    if (read.kind === 'no-memory') {
      response.shouldKeepAlive = false
      return this.finish(response, head, undefined, arrivedAt, notRun('no-memory', defaultRetryAfterMs))
    }
    bodies.add(read.body)
    await this.options.pendingInput.read()
    const job = this.createJob(request, head, route, arrivedAt, read.body)
    if (cancellation.aborted) {
      this.countCallerLeft('unread')
      return this.finish(response, head, job, arrivedAt, notRun('left'))
    }
    if (!this.options.admits(job.deadlineAt)) return this.finish(response, head, job, arrivedAt, notRun('closed', defaultRetryAfterMs))
    const outcome = await this.forward(job, route, cancellation)
    if (outcome.kind === 'answer') bodies.add(outcome.body)
    if (hasLeft(request)) this.countCallerLeft(outcome.kind === 'not-run' ? 'waiting' : 'running')
    this.finish(response, head, job, arrivedAt, outcome)
  }

  /** Counts a caller that has left, by how far its request had come. */
  private countCallerLeft (stage: 'unread' | 'waiting' | 'running'): void {
    this.options.metrics.count('callers_left_total', { stage })
  }

  /** Cancels all requests in flight; each is answered with its outcome so far. */
  cancelAll (): void {
    for (const { cancellation } of this.inFlight) cancellation.abort()
  }

  /** Answers all requests in flight now. Those that are not idempotent continue at the target on this VM when they are cancelled. */
  answerAll (): void {
    for (const { resolve } of this.inFlight) resolve(mayHaveRun('left'))
  }

  private async forward (job: Job, route: Route, cancellation: Cancellation): Promise<Outcome> {
    return await new Promise((resolve, reject) => {
      const request = { cancellation, resolve }
      this.inFlight.add(request)
      this.options.forwarder.run(job, route, cancellation).then(resolve, reject).finally(() => { this.inFlight.delete(request) })
    })
  }

  private createJob (request: IncomingMessage, head: RequestHead, route: Route, arrivedAt: number, body: Buffer): Job {
    const { configuration, protocol, service } = this.options
    const callerTimeoutMs = head.timeoutMs ?? route.timeoutMs
    return {
      id: head.id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: protocol.filterRequest(request.rawHeaders),
      body,
      route: route.name,
      service: configuration.pickService(route),
      caller: service,
      idempotent: route.kind === 'idempotent',
      objectiveMs: route.objectiveMs,
      priority: route.priority,
      mayWait: false,
      objectiveAt: arrivedAt + route.objectiveMs - this.estimateWaitedMs(route.name, callerTimeoutMs),
      deadlineAt: arrivedAt + Math.min(callerTimeoutMs, route.timeoutMs)
    }
  }

  /** Estimates how long a caller has waited in earlier attempts, from its timeout and the longest one of the route. */
  private estimateWaitedMs (route: string, callerTimeoutMs: number): number {
    const longestMs = Math.max(callerTimeoutMs, this.longestTimeouts.get(route) ?? 0)
    this.longestTimeouts.set(route, longestMs)
    return longestMs - callerTimeoutMs
  }

  private reject (response: ServerResponse, head: RequestHead, status: number, cause: string): void {
    const { logger, metrics, configuration } = this.options
    metrics.count('calls_total', { verdict: 'not-run', cause })
    logger.info('request-rejected', { request: head.id, status, cause, version: configuration.version })
    // What follows an unread body, or a head that is not valid, may not be the next request.
    respond(response, status, status === 413 || status === 400 ? ['connection', 'close'] : [], emptyBody)
  }

  private finish (response: ServerResponse, head: RequestHead, job: Job | undefined, arrivedAt: number, outcome: Outcome): void {
    const { clock, logger, metrics, isLeaving, configuration } = this.options
    const now = clock.now()
    if (isLeaving()) response.shouldKeepAlive = false
    metrics.recordDuration('call_seconds', now - arrivedAt)
    if (outcome.kind === 'answer') {
      metrics.count('calls_total', { verdict: 'done', cause: outcome.status < 500 ? 'none' : 'failed-at-target' })
      return respond(response, outcome.status, outcome.headers, outcome.body)
    }
    metrics.count('calls_total', { verdict: outcome.kind, cause: outcome.cause })
    const status = chooseStatus(outcome)
    const evidence = outcome.kind === 'not-run' ? describeEvidence(outcome.evidence) : {}
    logger.info('request-failed', { request: head.id, status, cause: outcome.cause, route: job?.route, service: job?.service, tookMs: Math.round(now - arrivedAt), gone: response.destroyed, version: configuration.version, ...evidence })
    const remainingMs = (head.timeoutMs ?? 0) - (now - arrivedAt)
    const headers = outcome.kind === 'not-run' ? ['retry-after', formatRetryAfter(Math.min(outcome.retryAfterMs, remainingMs * maxRetryAfterShare))] : []
    respond(response, status, headers, emptyBody)
  }
}

/** Whether the caller has closed or reset its connection. */
function hasLeft ({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded
}

/** Counts the bytes of header names and values, with a separator or line end of two bytes after each. */
function countHeaderBytes (headers: readonly string[]): number {
  return headers.reduce((bytes, text) => bytes + text.length + 2, 0)
}

interface IngressOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly protocol: Protocol
  readonly configuration: CurrentConfiguration
  readonly forwarder: Forwarder
  /** Limits the request bodies that are being received, together with the answer bodies. */
  readonly bodyLimits: BodyLimits
  readonly pendingInput: PendingInput
  /** Service of the upstream on this VM. */
  readonly service: string
  /** Whether the node is leaving: callers are then asked to close their connections. */
  readonly isLeaving: () => boolean
  /** Whether a request is taken whose caller waits until `deadlineAt`, in clock milliseconds. */
  readonly admits: (deadlineAt: number) => boolean
}
