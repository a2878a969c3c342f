import type { Clock } from 'auburnturn/core/clock'
import type { OwnTarget } from '../own-target/index.js'
import type { PeerCallHandler } from '../peer-calls/index.js'
import { formatOutcome, parseRequest } from './hop-message.js'

/** Creates the handler of requests that other nodes send for the target on this VM. */
export function createRequestHandler ({ clock, target, service }: RequestHandlerOptions): PeerCallHandler {
  return async (call, signal) => {
    const request = parseRequest(call, service, clock.now())
    if (request === undefined) return undefined
    return { request: request.job.id, ...formatOutcome(await target.run(request.job, request.target, signal)) }
  }
}

interface RequestHandlerOptions {
  readonly clock: Clock
  readonly target: OwnTarget
  /** Service of the target. */
  readonly service: string
}
