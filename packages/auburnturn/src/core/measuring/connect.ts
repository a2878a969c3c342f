import { Code, ConnectError } from '@connectrpc/connect'
import type { Load } from '../call/types.js'
import { Measuring } from '../control/index.js'
import type { ControlClients, Routes } from '../control/index.js'
import type { MeasuringBudget } from './budget.js'
import { probeAnswerMs, probeBytes } from './constants.js'
import type { Probe } from './types.js'

/** Probes over the control connections; a target that answers nonsense counts as silent. */
export function createProbe (clients: ControlClients): Probe {
  return async (member, service, signal) => {
    const answer = await clients.getClient(Measuring, member).probe({ service }, { signal, timeoutMs: probeAnswerMs })
    const state = states.find(known => known === answer.state)
    if (state === undefined) return undefined
    const { running, queued, limit, incarnation } = answer
    return { load: { running, queued, limit, state }, incarnation }
  }
}

/** Answers probes of this node's target, as far as the budget of this node goes. */
export function answerProbes ({ budget, service, incarnation, readLoad }: ProbedTarget): Routes {
  return router => {
    router.service(Measuring, {
      probe: request => {
        if (request.service !== service) throw new ConnectError(`no target of ${request.service}`, Code.NotFound)
        if (!budget.take(probeBytes)) throw new ConnectError('measuring budget spent', Code.ResourceExhausted)
        return { ...readLoad(), incarnation }
      }
    })
  }
}

const states: readonly Load['state'][] = ['starting', 'serving', 'draining']

interface ProbedTarget {
  readonly budget: MeasuringBudget
  readonly service: string
  readonly incarnation: string
  readonly readLoad: () => Load
}
