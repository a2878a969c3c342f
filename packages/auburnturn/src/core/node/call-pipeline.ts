import { headerNames } from '../call/index.js'
import type { Answer, Body } from '../call/types.js'
import { Exchange, Listener } from '../http/index.js'
import type { Member } from '../membership/index.js'
import { Router } from '../router/index.js'
import { Target } from '../target/index.js'
import { createAnswerHeaders } from './answer-headers.js'
import { createCallIdGenerator } from './call-id-generator.js'
import type { NodeComponents } from './components.js'
import { identifyCall } from './identify-call.js'
import { createUpstreamHeaders, PeerConnections } from './peer-connections.js'
import { isTicketRequest } from './ticket-service.js'
import { addTriedTargetsRecord } from './tried-targets.js'

/** The components that a call passes through in a node. */
export interface CallPipeline {
  readonly peers: PeerConnections
  readonly upstream: Exchange
  readonly target: Target
  readonly router: Router
  readonly nextCallId: () => string
}

/** A listener of the node: for callers, or for calls that other nodes forward. */
export type ListenerName = 'callers' | 'peers'

/** Creates the components that handle calls, from the router to the upstream and to other nodes. */
export function createCallPipeline (components: NodeComponents): CallPipeline {
  const { settings, clock, pendingInput, directory, random, tracker, quarantine } = components
  const { id, service, limits } = settings
  const peers = PeerConnections.create({ clock, directory, connections: limits.connectionsPerTarget, maxHeaderBytes: limits.headerBytes })
  const upstream = createUpstreamExchange(components)
  const target = createTarget(components, upstream)
  const remote = tracker.trackAttempt('peer', async (call, member: Member, body: Body, answer: Answer) => {
    await pendingInput.readIfOld()
    return await peers.attempt(call, member, body, answer)
  }, member => member.id)
  const router = Router.create({ clock, random, directory, quarantine, remote, local: { id, service, target } })
  return { peers, upstream, target, router, nextCallId: createCallIdGenerator(components.incarnation) }
}

/** Opens one listener and serves the calls that arrive there. */
export async function openListener (name: ListenerName, components: NodeComponents, { target, router, nextCallId }: CallPipeline): Promise<Listener> {
  const { clock, pendingInput, store, directory, settings, logger, incarnation, tracker, tickets } = components
  const forwarded = name === 'peers'
  return await Listener.create({
    ...settings[name],
    maxConnections: settings.limits.callerConnections,
    maxHeaderBytes: settings.limits.headerBytes,
    clock,
    pendingInput,
    ...createAnswerHeaders({ target, incarnation, forwarded }),
    logger: logger.createChild(name),
    identifyCall: (request, signal) => {
      const identified = identifyCall(request, signal, { clock, store, directory, forwarded, nextCallId })
      return addTriedTargetsRecord(identified, request.headers[headerNames.triedTargets])
    },
    handleCall: tracker.track(async (call, body, answer) => !forwarded && isTicketRequest(call)
      ? await tickets.answerTicketRequest(call, answer, target, tried => router.choose(call, tried))
      : await router.run(call, body, answer))
  })
}

function createUpstreamExchange ({ settings, clock }: NodeComponents): Exchange {
  const { ip, port } = settings.upstream
  return Exchange.create({ origin: `http://${ip}:${port}`, maxConnections: settings.limits.callerConnections, clock })
}

function createTarget ({ settings, incarnation, clock, pendingInput, admission, quarantine, tracker, tickets }: NodeComponents, upstream: Exchange): Target {
  return Target.create({
    id: settings.id,
    incarnation,
    clock,
    admission,
    quarantine,
    run: tracker.trackAttempt('upstream', async (call, body: Body, answer: Answer) => {
      await pendingInput.readIfOld()
      return await upstream.send(call, body, answer, createUpstreamHeaders(call, clock))
    }, () => settings.id),
    fetchTicket: async (service, withinMs) => await tickets.fetchFromOtherTarget(service, withinMs)
  })
}
