import type { Clock } from 'auburnturn/core/clock'
import type { PendingInput } from 'auburnturn/core/http'
import type { Logger } from 'auburnturn/core/logger'
import type { CurrentConfiguration } from '../core/configuration/index.js'
import type { BodyLimits } from '../core/bodies/index.js'
import { createRequestHandler } from '../core/forwarding/index.js'
import type { InFlightRequests } from '../core/listening/index.js'
import type { OwnTarget } from '../core/own-target/index.js'
import { PeerCallServer } from '../core/peer-calls/index.js'

/** Opens the server for requests that other nodes send for the target on this VM; resolves when it listens. */
export async function openPeerCallServer ({ clock, target, service, configuration, ...options }: PeerCallServerOptions): Promise<PeerCallServer> {
  return await PeerCallServer.create({
    ...options,
    handle: createRequestHandler({ clock, target, service }),
    maxBodyBytes: () => configuration.limits?.maxBodyBytes ?? Infinity
  })
}

interface PeerCallServerOptions {
  readonly ip: string
  readonly port: number
  readonly clock: Clock
  readonly logger: Logger
  readonly target: OwnTarget
  /** Service of the target. */
  readonly service: string
  /** Limits the bodies of requests. */
  readonly configuration: CurrentConfiguration
  /** Limits the bodies that are being received. */
  readonly bodyLimits: BodyLimits
  readonly inFlightRequests: InFlightRequests
  readonly pendingInput: PendingInput
}
