import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import { PushRequestSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { PushRequest } from '../control/gen/auburnturn/v1/relay_pb.js'
import { targetMessageBytes } from './constants.js'
import { encodeEntry, encodeNotice } from './messages.js'
import type { Batch, Origin } from './outbox.js'
import type { ReaderElection } from './reader-election.js'
import type { RelayClient } from './relay-client.js'
import type { Peer, Topology } from './topology.js'

interface BroadcasterOptions {
  readonly clock: Clock
  readonly topology: Topology
  readonly readerElection: ReaderElection
  readonly client: RelayClient
}

/** Sends updates down the trees: to this node's children, and from readers to other failure domains. */
export class Broadcaster {
  private readonly options: BroadcasterOptions

  private constructor (options: BroadcasterOptions) {
    this.options = options
  }

  static create (options: BroadcasterOptions): Broadcaster {
    return new Broadcaster(options)
  }

  /** Sends a batch to every child; resolves when all children have answered or failed. */
  async send (batch: Batch): Promise<void> {
    if (batch.root === '') await this.sendToCandidate(batch)
    else await this.sendToTree(batch)
  }

  /**
   * Sends this node's own updates to the first candidate that answers, which sends them down its tree with those of
   * other nodes: when all nodes start together, one tree carries their notices in few messages.
   */
  private async sendToCandidate (batch: Batch): Promise<void> {
    const { topology, readerElection, clock } = this.options
    const { failureDomain, id } = topology.self
    for (const candidate of readerElection.candidates) {
      if (candidate.id === id) break
      const messages = splitBatch(batch, { root: candidate.id, rootDomain: failureDomain }, clock.now())
      if (!readerElection.isUnresponsive(candidate.id) && await this.deliver(candidate, messages)) return
    }
    await this.sendToTree({ ...batch, root: id, rootDomain: failureDomain })
  }

  private async sendToTree (batch: Batch): Promise<void> {
    const { topology, readerElection, clock } = this.options
    const origin = resolveRoot(batch, topology)
    const messages = splitBatch(batch, origin, clock.now())
    const tasks = topology.findChildren(topology.self.id, origin.root).map(async child => { await this.sendToChild(child, messages, origin.root) })
    if (readerElection.role === 'reader') {
      const { failureDomain } = topology.self
      for (const domain of topology.findChildDomains(failureDomain, batch.rootDomain)) tasks.push(this.sendToDomain(domain, messages, batch.rootDomain))
    }
    await Promise.all(tasks)
  }

  /** Sends to a child; when that fails, sends to the children of the child instead. */
  private async sendToChild (child: Peer, messages: readonly PushRequest[], root: string): Promise<void> {
    const { topology, readerElection } = this.options
    if (!readerElection.isUnresponsive(child.id) && await this.deliver(child, messages)) return
    await Promise.all(topology.findChildren(child.id, root).map(async grandchild => { await this.sendToChild(grandchild, messages, root) }))
  }

  /** Sends to the contact of a failure domain, then to its next contact; when both fail, sends to its child domains. */
  private async sendToDomain (domain: string, messages: readonly PushRequest[], rootDomain: string): Promise<void> {
    const { topology, readerElection } = this.options
    const contact = readerElection.findContact(domain)
    if (contact === undefined) return
    const rerooted = messages.map(message => create(PushRequestSchema, { ...message, root: contact.id }))
    if (!readerElection.isUnresponsive(contact.id) && await this.deliver(contact, rerooted)) return
    const nextContact = readerElection.findContact(domain)
    if (nextContact !== undefined && nextContact.id !== contact.id && await this.deliver(nextContact, rerooted.map(message => create(PushRequestSchema, { ...message, root: nextContact.id })))) return
    await Promise.all(topology.findChildDomains(domain, rootDomain).map(async childDomain => { await this.sendToDomain(childDomain, messages, rootDomain) }))
  }

  private async deliver (peer: Peer, messages: readonly PushRequest[]): Promise<boolean> {
    for (const message of messages) {
      if (!await this.options.client.push(peer, message)) return false
    }
    return true
  }
}

/** The root of the tree in this failure domain: this node when the original root is not a member of the domain. */
function resolveRoot ({ root, rootDomain }: Origin, { domainPeers, self }: Topology): Origin {
  return { root: domainPeers.some(peer => peer.id === root) ? root : self.id, rootDomain }
}

/** Splits a batch into messages of about `targetMessageBytes`. */
function splitBatch (batch: Batch, { root, rootDomain }: Origin, now: number): PushRequest[] {
  const messages: PushRequest[] = []
  let current = create(PushRequestSchema, { root, rootDomain, notices: batch.notices.map(notice => encodeNotice(notice, now)) })
  let bytes = toBinary(PushRequestSchema, current).length
  for (const entry of batch.entries) {
    const size = entry.key.length + (entry.text?.length ?? 0) + (entry.good?.text.length ?? 0)
    if (bytes + size > targetMessageBytes && current.entries.length > 0) {
      messages.push(current)
      current = create(PushRequestSchema, { root, rootDomain })
      bytes = 0
    }
    current.entries.push(encodeEntry(entry))
    bytes += size
  }
  return [...messages, current]
}
