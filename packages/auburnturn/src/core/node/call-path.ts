import { headerNames } from '../call/index.js'
import type { Answer, Body } from '../call/types.js'
import { Exchange, Listener } from '../http/index.js'
import { Router } from '../router/index.js'
import { Target } from '../target/index.js'
import { createAnswerHeaders } from './answer-headers.js'
import { createCallIds } from './call-ids.js'
import { identifyCall } from './identify.js'
import type { NodeParts } from './parts.js'
import { describeToUpstream, Peers } from './peers.js'
import { isTicketRequest } from './tickets.js'
import { recordWay } from './way.js'

/** What a call passes on its way through a node. */
export interface CallPath {
  readonly peers: Peers
  readonly upstream: Exchange
  readonly target: Target
  readonly router: Router
  readonly nextId: () => string
}

/** Where calls arrive: from callers, or passed on by other nodes. */
export type Entrance = 'callers' | 'peers'

/** Makes the way of a call, from the router to the upstream and to other nodes. */
export function createCallPath (parts: NodeParts): CallPath {
  const { settings, clock, directory, random, tracker, quarantine } = parts
  const { id, service, limits } = settings
  const peers = Peers.create({ clock, directory, connections: limits.connectionsPerTarget, headerBytes: limits.headerBytes })
  const upstream = createUpstream(parts)
  const target = createTarget(parts, upstream)
  const remote = tracker.trackAttempt('peer', peers.attempt, member => member.id)
  const router = Router.create({ clock, random, directory, quarantine, remote, local: { id, service, target } })
  return { peers, upstream, target, router, nextId: createCallIds(parts.incarnation) }
}

/** Opens one entrance and serves the calls that arrive there. */
export async function openEntrance (entrance: Entrance, parts: NodeParts, { target, router, nextId }: CallPath): Promise<Listener> {
  const { clock, store, directory, settings, logger, incarnation, tracker, tickets } = parts
  const forwarded = entrance === 'peers'
  return await Listener.create({
    ...settings[entrance],
    maxConnections: settings.limits.callerConnections,
    maxHeaderBytes: settings.limits.headerBytes,
    clock,
    ...createAnswerHeaders({ target, incarnation, forwarded }),
    logger: logger.createChild(entrance),
    identifyCall: (request, signal) => {
      const identified = identifyCall(request, signal, { clock, store, directory, forwarded, nextId })
      return recordWay(identified, request.headers[headerNames.triedTargets])
    },
    handleCall: tracker.track(async (call, body, answer) => !forwarded && isTicketRequest(call)
      ? await tickets.answer(call, answer, target, tried => router.choose(call, tried))
      : await router.run(call, body, answer))
  })
}

function createUpstream ({ settings, clock }: NodeParts): Exchange {
  const { ip, port } = settings.upstream
  return Exchange.create({ origin: `http://${ip}:${port}`, maxConnections: settings.limits.callerConnections, clock })
}

function createTarget ({ settings, incarnation, clock, admission, quarantine, tracker, tickets }: NodeParts, upstream: Exchange): Target {
  return Target.create({
    id: settings.id,
    incarnation,
    clock,
    admission,
    quarantine,
    run: tracker.trackAttempt('upstream', async (call, body: Body, answer: Answer) => {
      return await upstream.send(call, body, answer, describeToUpstream(call, clock))
    }, () => settings.id),
    fetchTicket: async (service, withinMs) => await tickets.fetchElsewhere(service, withinMs)
  })
}
