import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '../clock/index.js'
import { PushRequestSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { PushRequest } from '../control/gen/auburnturn/v1/relay_pb.js'
import { batchBytes } from './constants.js'
import type { Link } from './link.js'
import { packEntry, packNotice } from './messages.js'
import type { Batch, Origin } from './outbox.js'
import type { Readership } from './readership.js'
import type { Peer, Topology } from './topology.js'

interface Parts {
  readonly clock: Clock
  readonly topology: Topology
  readonly readership: Readership
  readonly link: Link
}

/** Sends news down the trees: to this node's children, and from readers to other failure domains. */
export class Spread {
  private readonly parts: Parts

  private constructor (parts: Parts) {
    this.parts = parts
  }

  static create (parts: Parts): Spread {
    return new Spread(parts)
  }

  /** Sends a batch to every child; resolves when all have answered or failed. */
  async send (batch: Batch): Promise<void> {
    if (batch.root === '') await this.sendUp(batch)
    else await this.sendTree(batch)
  }

  /**
   * Hands this node's own news to the first candidate that answers, which sends them down with those of others:
   * when all nodes start together, one tree carries their notices in few messages.
   */
  private async sendUp (batch: Batch): Promise<void> {
    const { topology, readership, clock } = this.parts
    const { failureDomain, id } = topology.self
    for (const candidate of readership.candidates) {
      if (candidate.id === id) break
      const messages = splitBatch(batch, { root: candidate.id, rootDomain: failureDomain }, clock.now())
      if (!readership.isSilent(candidate.id) && await this.deliver(candidate, messages)) return
    }
    await this.sendTree({ ...batch, root: id, rootDomain: failureDomain })
  }

  private async sendTree (batch: Batch): Promise<void> {
    const { topology, readership, clock } = this.parts
    const origin = withOwnRoot(batch, topology)
    const messages = splitBatch(batch, origin, clock.now())
    const tasks = topology.childrenOf(topology.self.id, origin.root).map(async child => { await this.sendDown(child, messages, origin.root) })
    if (readership.role === 'reader') {
      const { failureDomain } = topology.self
      for (const domain of topology.childDomains(failureDomain, batch.rootDomain)) tasks.push(this.sendAcross(domain, messages, batch.rootDomain))
    }
    await Promise.all(tasks)
  }

  /** Sends to a child; when it fails its children are served in its place. */
  private async sendDown (child: Peer, messages: readonly PushRequest[], root: string): Promise<void> {
    const { topology, readership } = this.parts
    if (!readership.isSilent(child.id) && await this.deliver(child, messages)) return
    await Promise.all(topology.childrenOf(child.id, root).map(async next => { await this.sendDown(next, messages, root) }))
  }

  private async sendAcross (domain: string, messages: readonly PushRequest[], rootDomain: string): Promise<void> {
    const { topology, readership } = this.parts
    const speaker = readership.speakerOf(domain)
    if (speaker === undefined) return
    const turned = messages.map(message => create(PushRequestSchema, { ...message, root: speaker.id }))
    if (!readership.isSilent(speaker.id) && await this.deliver(speaker, turned)) return
    const other = readership.speakerOf(domain)
    if (other !== undefined && other.id !== speaker.id && await this.deliver(other, turned.map(message => create(PushRequestSchema, { ...message, root: other.id })))) return
    await Promise.all(topology.childDomains(domain, rootDomain).map(async next => { await this.sendAcross(next, messages, rootDomain) }))
  }

  private async deliver (peer: Peer, messages: readonly PushRequest[]): Promise<boolean> {
    for (const message of messages) {
      if (!await this.parts.link.push(peer, message)) return false
    }
    return true
  }
}

/** The tree starts at this node when the origin is not a member of its failure domain. */
function withOwnRoot ({ root, rootDomain }: Origin, { home, self }: Topology): Origin {
  return { root: home.some(peer => peer.id === root) ? root : self.id, rootDomain }
}

function splitBatch (batch: Batch, { root, rootDomain }: Origin, now: number): PushRequest[] {
  const messages: PushRequest[] = []
  let current = create(PushRequestSchema, { root, rootDomain, notices: batch.notices.map(notice => packNotice(notice, now)) })
  let bytes = toBinary(PushRequestSchema, current).length
  for (const entry of batch.entries) {
    const size = entry.key.length + (entry.text?.length ?? 0) + (entry.good?.text.length ?? 0)
    if (bytes + size > batchBytes && current.entries.length > 0) {
      messages.push(current)
      current = create(PushRequestSchema, { root, rootDomain })
      bytes = 0
    }
    current.entries.push(packEntry(entry))
    bytes += size
  }
  return [...messages, current]
}
