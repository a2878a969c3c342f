import { Code, ConnectError } from '@connectrpc/connect'
import type { Load } from '../call/types.js'
import { Measuring } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { MeasuringBudget } from './budget.js'
import { probeBytes, probeTimeoutMs } from './constants.js'
import type { Probe } from './types.js'

/** Creates a probe that uses the control connections. A response with an unknown state counts as no response. */
export function createProbe (clients: ControlClients): Probe {
  return async (member, service, signal) => {
    const answer = await clients.getClient(Measuring, member).probe({ service }, { signal, timeoutMs: probeTimeoutMs })
    const state = loadStates.find(knownState => knownState === answer.state)
    if (state === undefined) return undefined
    const { running, queued, limit, incarnation } = answer
    return { load: { running, queued, limit, state }, incarnation }
  }
}

/** Creates the routes that respond to probes of this node's target within this node's measuring budget. */
export function createProbeRoutes ({ budget, service, incarnation, readLoad }: ProbeRoutesOptions): Routes {
  return router => {
    router.service(Measuring, {
      probe: request => {
        if (request.service !== service) throw new ConnectError(`no target of ${request.service}`, Code.NotFound)
        if (!budget.tryConsume(probeBytes)) throw new ConnectError('measuring budget spent', Code.ResourceExhausted)
        return { ...readLoad(), incarnation }
      }
    })
  }
}

const loadStates: readonly Load['state'][] = ['starting', 'serving', 'draining']

interface ProbeRoutesOptions {
  readonly budget: MeasuringBudget
  readonly service: string
  readonly incarnation: string
  readonly readLoad: () => Load
}
