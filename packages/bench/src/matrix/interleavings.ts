import { checkHistory } from 'auburnturn'
import type { Body, Member, Violation } from 'auburnturn'
import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { createBufferedAnswer, InMemoryNode } from './in-memory-node.js'
import type { DeliveryOutcome, InMemoryContext } from './in-memory-node.js'
import type { Finding } from './matrix.js'
import { HistoryRecorder } from './history-recorder.js'

const nodeNames = ['orders-1', 'orders-2', 'orders-3'] as const
const possibleDeliveryOutcomes: readonly DeliveryOutcome[] = ['arrives', 'arrives', 'arrives', 'refused', 'request-late', 'request-lost', 'answer-lost']

/**
 * A call and the indexes of the nodes through which it is sent concurrently. A plain call is sent through the first node
 * only; a ticketed call is sent through the first node once more at the end.
 */
interface PlannedCall {
  readonly kind: CallKind
  readonly entryNodes: readonly number[]
}

/** A change of a node's state at a time that the scheduler chooses. */
interface NodeEvent {
  readonly node: number
  readonly action: 'drain' | 'restart' | 'open'
}

/** Plan of one concurrent history; the attempts between nodes have the delivery outcomes in cyclic order. */
export interface HistoryPlan {
  readonly calls: readonly PlannedCall[]
  readonly nodeEvents: readonly NodeEvent[]
  readonly deliveryOutcomes: readonly DeliveryOutcome[]
  readonly seed: number
}

const nodeIndex = fc.nat(nodeNames.length - 1)

const historyPlans: fc.Arbitrary<HistoryPlan> = fc.record({
  calls: fc.array(fc.record({
    kind: fc.constantFrom<CallKind>('ticketed', 'ticketed', 'plain', 'idempotent'),
    entryNodes: fc.array(nodeIndex, { minLength: 1, maxLength: 4 })
  }), { minLength: 1, maxLength: 3 }),
  nodeEvents: fc.array(fc.record({ node: nodeIndex, action: fc.constantFrom<NodeEvent['action']>('drain', 'restart', 'open') }), { maxLength: 3 }),
  deliveryOutcomes: fc.array(fc.constantFrom(...possibleDeliveryOutcomes), { minLength: 1, maxLength: 12 }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
}, { noNullPrototype: true })

const emptyBody: Body = { replayable: true, empty: true, read: async function * () {} }

/** Runs one history under `scheduler` and returns the rules it violates. */
export async function runHistory (plan: HistoryPlan, scheduler: fc.Scheduler): Promise<Violation[]> {
  const recorder = HistoryRecorder.create()
  const nodes = new Map<string, InMemoryNode>()
  let attemptCount = 0
  const context: InMemoryContext = {
    recorder,
    nodes,
    waitForStep: async label => { await scheduler.schedule(Promise.resolve(), label) },
    nextDeliveryOutcome: () => plan.deliveryOutcomes[attemptCount++ % plan.deliveryOutcomes.length] ?? 'arrives'
  }
  nodeNames.forEach((id, index) => nodes.set(id, InMemoryNode.create(id, plan.seed + index, context)))
  for (const memoryNode of nodes.values()) memoryNode.directory.accept({ service: 'orders', version: 1, members: listMembers() })
  const nodeEvents = plan.nodeEvents.map(async nodeEvent => { await applyNodeEvent(nodeEvent, context) })
  const calls = plan.calls.map(async (call, index) => { await sendCall(call, `call-${index}`, context) })
  await scheduler.waitFor(Promise.all([...nodeEvents, ...calls]))
  await scheduler.waitIdle()
  for (const memoryNode of nodes.values()) await memoryNode.close()
  return checkHistory(recorder.events)
}

/** Runs `count` histories generated from `seed`; stops at the first failure and reports it in its shrunk form. */
export async function runInterleavings (seed: number, count: number): Promise<{ readonly runs: number, readonly findings: readonly Finding[] }> {
  const property = fc.asyncProperty(historyPlans, fc.scheduler(), async (plan, scheduler) => {
    const violations = await runHistory(plan, scheduler)
    if (violations.length > 0) throw new Error(violations.map(({ rule, detail }) => `${rule}: ${detail}`).join('\n'))
  })
  const result = await fc.check(property, { seed, numRuns: count })
  if (!result.failed) return { runs: result.numRuns, findings: [] }
  const [plan, scheduler] = result.counterexample ?? []
  const detail = `${String(result.errorInstance)}\nafter ${result.numShrinks} shrinks: ${JSON.stringify(plan)}\n${String(scheduler)}`
  return { runs: result.numRuns, findings: [{ kind: 'at-most-once', caseName: 'concurrent histories in memory', seed, detail }] }
}

async function sendCall ({ kind, entryNodes }: PlannedCall, call: string, context: InMemoryContext): Promise<void> {
  const ticket = kind === 'ticketed' ? issueTicket(entryNodes[0] ?? 0, context) : undefined
  const nodeIndexes = kind === 'plain' ? entryNodes.slice(0, 1) : entryNodes
  await Promise.all(nodeIndexes.map(async (nodeIndex, requestIndex) => { await send(`${call}/${requestIndex}`, call, kind, nodeIndex, ticket, context) }))
  if (kind === 'ticketed') await send(`${call}/last`, call, kind, entryNodes[0] ?? 0, ticket, context)
}

async function send (name: string, call: string, kind: CallKind, nodeIndex: number, ticket: string | undefined, context: InMemoryContext): Promise<void> {
  const { recorder, waitForStep } = context
  const entry = context.nodes.get(nodeNames[nodeIndex] ?? '') as InMemoryNode
  await waitForStep(`${name} is sent`)
  recorder.add({ kind: 'call-sent', sending: name, call, idempotent: kind === 'idempotent', ticketed: kind === 'ticketed', timeoutMs: 5_000 })
  const answer = createBufferedAnswer()
  const { verdict } = await entry.router.run(entry.createCall(name, { idempotent: kind === 'idempotent', ...(ticket === undefined ? {} : { ticket }) }), emptyBody, answer)
  if (verdict.kind !== 'done') {
    recorder.add({ kind: 'refused', sending: name, verdict: verdict.kind, cause: verdict.cause })
    return
  }
  const execution = answer.headers[1] ?? ''
  recorder.add({ kind: 'answer-head', sending: name, execution })
  recorder.add({ kind: 'answer-ended', sending: name, execution, whole: true, content: answer.content })
}

/** Issues a ticket at the first node that can, starting at index `first`. */
function issueTicket (first: number, { nodes }: InMemoryContext): string | undefined {
  for (let offset = 0; offset < nodeNames.length; offset++) {
    const ticket = nodes.get(nodeNames[(first + offset) % nodeNames.length] ?? '')?.target.issueTicket()
    if (ticket !== undefined) return ticket
  }
  return undefined
}

async function applyNodeEvent ({ node: nodeIndex, action }: NodeEvent, { nodes, waitForStep }: InMemoryContext): Promise<void> {
  const affected = nodes.get(nodeNames[nodeIndex] ?? '')
  await waitForStep(`${affected?.id ?? ''}: ${action}`)
  switch (action) {
    case 'drain': affected?.admission.drain(); break
    case 'open': affected?.admission.open(); break
    case 'restart': affected?.restart(); break
  }
}

function listMembers (): Member[] {
  return nodeNames.map(id => ({ id, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }))
}
