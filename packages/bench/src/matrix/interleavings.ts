import { checkHistory } from 'auburnturn'
import type { Body, Member, Violation } from 'auburnturn'
import fc from 'fast-check'
import type { CallKind } from './caller.js'
import { createBufferedAnswer, MemoryNode } from './memory-node.js'
import type { DeliveryOutcome, MemoryContext } from './memory-node.js'
import type { Finding } from './matrix.js'
import { HistoryRecorder } from './history-recorder.js'

const nodeNames = ['orders-1', 'orders-2', 'orders-3'] as const
const possibleDeliveryOutcomes: readonly DeliveryOutcome[] = ['arrives', 'arrives', 'arrives', 'refused', 'request-late', 'request-lost', 'answer-lost']

/** A call with the nodes through which it is sent, all at the same moment, and one that sends it again at the end. */
interface PlannedCall {
  readonly kind: CallKind
  readonly entryNodes: readonly number[]
}

/** What happens to a node at a moment that the scheduler picks. */
interface NodeEvent {
  readonly node: number
  readonly action: 'drain' | 'restart' | 'open'
}

/** One concurrent history to be played. */
export interface HistoryPlan {
  readonly calls: readonly PlannedCall[]
  readonly nodeEvents: readonly NodeEvent[]
  readonly deliveryOutcomes: readonly DeliveryOutcome[]
  readonly seed: number
}

const node = fc.nat(nodeNames.length - 1)

const historyPlans: fc.Arbitrary<HistoryPlan> = fc.record({
  calls: fc.array(fc.record({
    kind: fc.constantFrom<CallKind>('ticketed', 'ticketed', 'plain', 'idempotent'),
    entryNodes: fc.array(node, { minLength: 1, maxLength: 4 })
  }), { minLength: 1, maxLength: 3 }),
  nodeEvents: fc.array(fc.record({ node, action: fc.constantFrom<NodeEvent['action']>('drain', 'restart', 'open') }), { maxLength: 3 }),
  deliveryOutcomes: fc.array(fc.constantFrom(...possibleDeliveryOutcomes), { minLength: 1, maxLength: 12 }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
}, { noNullPrototype: true })

const emptyBody: Body = { replayable: true, empty: true, read: async function * () {} }

/** Plays one history under `scheduler` and returns what it breaks. */
export async function runHistory (planned: HistoryPlan, scheduler: fc.Scheduler): Promise<Violation[]> {
  const recording = HistoryRecorder.create()
  const nodes = new Map<string, MemoryNode>()
  let attempts = 0
  const context: MemoryContext = {
    recorder: recording,
    nodes,
    waitForStep: async label => { await scheduler.schedule(Promise.resolve(), label) },
    nextDeliveryOutcome: () => planned.deliveryOutcomes[attempts++ % planned.deliveryOutcomes.length] ?? 'arrives'
  }
  nodeNames.forEach((id, index) => nodes.set(id, MemoryNode.create(id, planned.seed + index, context)))
  for (const one of nodes.values()) one.directory.accept({ service: 'orders', version: 1, members: listMembers() })
  const upheavals = planned.nodeEvents.map(async upheaval => { await applyNodeEvent(upheaval, context) })
  const calls = planned.calls.map(async (call, index) => { await sendCall(call, `call-${index}`, context) })
  await scheduler.waitFor(Promise.all([...upheavals, ...calls]))
  await scheduler.waitIdle()
  for (const one of nodes.values()) await one.close()
  return checkHistory(recording.events)
}

/** Plays `count` histories drawn from `seed`; stops at the first failure with its shrunken form. */
export async function runInterleavings (seed: number, count: number): Promise<{ readonly runs: number, readonly findings: readonly Finding[] }> {
  const property = fc.asyncProperty(historyPlans, fc.scheduler(), async (planned, scheduler) => {
    const violations = await runHistory(planned, scheduler)
    if (violations.length > 0) throw new Error(violations.map(({ rule, detail }) => `${rule}: ${detail}`).join('\n'))
  })
  const details = await fc.check(property, { seed, numRuns: count })
  if (!details.failed) return { runs: details.numRuns, findings: [] }
  const [planned, scheduler] = details.counterexample ?? []
  const detail = `${String(details.errorInstance)}\nafter ${details.numShrinks} shrinks: ${JSON.stringify(planned)}\n${String(scheduler)}`
  return { runs: details.numRuns, findings: [{ kind: 'at-most-once', caseName: 'concurrent histories in memory', seed, detail }] }
}

async function sendCall ({ kind, entryNodes: through }: PlannedCall, call: string, context: MemoryContext): Promise<void> {
  const ticket = kind === 'ticketed' ? issueTicket(through[0] ?? 0, context) : undefined
  const sendings = kind === 'plain' ? through.slice(0, 1) : through
  await Promise.all(sendings.map(async (index, number) => { await send(`${call}/${number}`, call, kind, index, ticket, context) }))
  if (kind === 'ticketed') await send(`${call}/last`, call, kind, through[0] ?? 0, ticket, context)
}

async function send (name: string, call: string, kind: CallKind, nodeIndex: number, ticket: string | undefined, context: MemoryContext): Promise<void> {
  const { recorder: recording, waitForStep: step } = context
  const entry = context.nodes.get(nodeNames[nodeIndex] ?? '') as MemoryNode
  await step(`${name} is sent`)
  recording.add({ kind: 'call-sent', sending: name, call, idempotent: kind === 'idempotent', ticketed: kind === 'ticketed', timeoutMs: 5_000 })
  const answer = createBufferedAnswer()
  const { verdict } = await entry.router.run(entry.createCall(name, { idempotent: kind === 'idempotent', ...(ticket === undefined ? {} : { ticket }) }), emptyBody, answer)
  if (verdict.kind !== 'done') {
    recording.add({ kind: 'refused', sending: name, verdict: verdict.kind, cause: verdict.cause })
    return
  }
  const execution = answer.headers[1] ?? ''
  recording.add({ kind: 'answer-head', sending: name, execution })
  recording.add({ kind: 'answer-ended', sending: name, execution, whole: true, content: answer.content })
}

function issueTicket (first: number, { nodes }: MemoryContext): string | undefined {
  for (let turn = 0; turn < nodeNames.length; turn++) {
    const ticket = nodes.get(nodeNames[(first + turn) % nodeNames.length] ?? '')?.target.issueTicket()
    if (ticket !== undefined) return ticket
  }
  return undefined
}

async function applyNodeEvent ({ node: index, action: what }: NodeEvent, { nodes, waitForStep: step }: MemoryContext): Promise<void> {
  const struck = nodes.get(nodeNames[index] ?? '')
  await step(`${struck?.id ?? ''}: ${what}`)
  switch (what) {
    case 'drain': struck?.admission.drain(); break
    case 'open': struck?.admission.open(); break
    case 'restart': struck?.restart(); break
  }
}

function listMembers (): Member[] {
  return nodeNames.map(id => ({ id, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }))
}
