import type { IncomingMessage, ServerResponse } from 'node:http'
import { Cancellation } from 'auburnturn/core/clock'
import type { Clock } from 'auburnturn/core/clock'
import type { BodyMemory } from '../exchange/index.js'
import { notRun } from '../own-target/index.js'
import type { Job, OwnTarget } from '../own-target/index.js'
import type { Configuration } from '../configuration/index.js'
import type { SharedState } from '../following/index.js'
import { configurationPath, maxSharedConfigurationBytes, statePath, defaultRetryAfterMs } from './constants.js'
import { parseHop } from './hop-header.js'
import { formatOutcome } from './outcome-headers.js'
import { compressJson } from './compression.js'
import { readBody } from './request-body.js'
import { respond, chooseStatus } from './respond.js'
import type { Protocol } from './types.js'

/** Serves one request from another node: for the target on this VM, or for the state or configuration of this node. */
export async function servePeer (request: IncomingMessage, response: ServerResponse, { clock, protocol, target, service, maxBodyBytes, memory, readState }: PeerServerOptions): Promise<void> {
  const arrivedAt = clock.now()
  const { rawHeaders: headers, method = 'GET', url: path = '/' } = request
  const hop = parseHop(headers)
  if (hop === undefined && path === statePath) return respondState(response, readState())
  if (hop === undefined && path === configurationPath) return respondConfiguration(response, readState()?.configuration)
  const head = protocol.readRequest(headers)
  if (hop === undefined) return respond(response, 400, ['connection', 'close'], Buffer.alloc(0))
  const cancellation = Cancellation.create()
  response.once('close', () => { cancellation.abort() })
  const read = await readBody(request, { maxBytes: maxBodyBytes(), memory })
  if (read.kind === 'no-memory') return respond(response, 503, ['connection', 'close', ...formatOutcome(notRun('no-memory', defaultRetryAfterMs))], Buffer.alloc(0))
  if (read.kind !== 'whole') return respond(response, 400, ['connection', 'close'], Buffer.alloc(0))
  const job: Job = {
    id: head.id,
    method,
    path,
    headers,
    body: read.body,
    route: hop.route,
    service,
    caller: head.caller,
    idempotent: hop.idempotent,
    objectiveMs: hop.objectiveMs,
    priority: hop.priority,
    mayWait: hop.mayWait,
    objectiveAt: arrivedAt + hop.objectiveRemainingMs,
    deadlineAt: arrivedAt + (head.timeoutMs ?? 0)
  }
  const outcome = await target.run(job, head.target, cancellation)
  if (outcome.kind === 'answer') respond(response, outcome.status, protocol.writeAnswer(outcome.headers), outcome.body)
  else respond(response, chooseStatus(outcome), formatOutcome(outcome), Buffer.alloc(0))
}

/** Response headers of compressed data for another node. */
const compressedHeaders = ['content-type', 'application/octet-stream']

function respondState (response: ServerResponse, state: SharedState | undefined): void {
  if (state === undefined) respond(response, 503, [], Buffer.alloc(0))
  else respond(response, 200, compressedHeaders, compressJson(state))
}

/**
 * Responds without a body when the configuration is too large to serve: many nodes can read it from the store at the
 * same time.
 */
function respondConfiguration (response: ServerResponse, configuration: Configuration | undefined): void {
  if (configuration === undefined) return respond(response, 503, [], Buffer.alloc(0))
  const body = compressJson(configuration)
  if (body.length > maxSharedConfigurationBytes) respond(response, 204, [], Buffer.alloc(0))
  else respond(response, 200, compressedHeaders, body)
}

/** Dependencies of `servePeer`. */
export interface PeerServerOptions {
  readonly clock: Clock
  readonly protocol: Protocol
  readonly target: OwnTarget
  /** Service of the target. */
  readonly service: string
  readonly memory: BodyMemory
  readonly maxBodyBytes: () => number
  /** Returns the state that this node serves to others; undefined before it has a configuration. */
  readonly readState: () => SharedState | undefined
}
