import { setTimeout as sleep } from 'node:timers/promises'
import type { Child } from './child.js'
import type { DatagramRelay } from './datagram-relay.js'
import type { Link, LinkState } from './link.js'
import type { Operator } from './operator.js'
import { plannedFaults } from './plan.js'
import { now } from './processes/messages.js'
import type { Disturbance, Fault } from './types.js'
import type { Vm } from './vm.js'

/** All that faults act on. */
export interface Field {
  readonly vms: readonly Vm[]
  readonly store: Child
  readonly operator: Operator
  readonly datagrams: DatagramRelay
  readonly disturbances: Disturbance[]
}

/** Lets a fault strike; resolves when it is over. */
export async function strike (fault: Fault, field: Field): Promise<void> {
  const from = now()
  await apply(fault, field)
  for (const place of placesOf(fault)) field.disturbances.push({ place, from, to: now(), planned: plannedFaults.includes(fault.name) })
}

/** Whom a fault disturbs: resets and silence of the links of one VM are felt by all that use them. */
function placesOf ({ name, vm }: Fault): Array<number | 'store'> {
  switch (name) {
    case 'configure': return []
    case 'refuse-store':
    case 'pause-store':
    case 'forget-history': return ['store']
    default: return [vm]
  }
}

async function apply ({ name, vm: index, forMs }: Fault, { vms, store, operator, datagrams }: Field): Promise<void> {
  const vm = vms[index]
  if (vm === undefined) throw new Error(`no VM ${index}`)
  const links = Object.values(vm.link)
  switch (name) {
    case 'terminate-node': return await vm.terminateNode(forMs)
    case 'kill-node': return await vm.killNode(forMs)
    case 'pause-node': return await vm.pauseNode(forMs)
    case 'reload-node': return vm.reloadNode()
    case 'crash-target': return await vm.crashTarget(forMs)
    case 'pause-target': return await vm.pauseTarget(forMs)
    case 'drain-target': return await vm.drainTarget()
    case 'delay-link': return await delay(links, forMs)
    case 'reset-link': return resetAll(links)
    case 'swallow-requests': return await swallow([vm.link.nodes, vm.link.upstream], 'swallow-requests', forMs)
    case 'swallow-answers': return await swallow([vm.link.nodes, vm.link.upstream], 'swallow-answers', forMs)
    case 'silence-connections':
      for (const link of links) link.silence()
      return
    case 'lose-datagrams':
      datagrams.lost.add(index)
      await sleep(forMs)
      datagrams.lost.delete(index)
      return
    case 'cut-store': return await swallow([vm.link.store], 'swallow-all', forMs)
    case 'refuse-store':
      store.send({ kind: 'refuse', status: 503 })
      await sleep(forMs)
      return store.send({ kind: 'refuse', status: undefined })
    case 'pause-store':
      store.signal('SIGSTOP')
      await sleep(forMs)
      return store.signal('SIGCONT')
    case 'forget-history': return store.send({ kind: 'forget' })
    case 'configure': return operator.configure()
  }
}

/** Milliseconds by which a slow link holds bytes back. */
const slowLinkMs = 120

async function delay (links: readonly Link[], forMs: number): Promise<void> {
  for (const link of links) link.delayMs = slowLinkMs
  await sleep(forMs)
  for (const link of links) link.delayMs = 0
}

function resetAll (links: readonly Link[]): void {
  for (const link of links) link.reset()
}

/** Bytes are gone for good, as on a cut path; the connections are reset when it heals. */
async function swallow (links: readonly Link[], state: LinkState, forMs: number): Promise<void> {
  for (const link of links) link.state = state
  await sleep(forMs)
  for (const link of links) {
    link.state = 'open'
    link.reset()
  }
}
