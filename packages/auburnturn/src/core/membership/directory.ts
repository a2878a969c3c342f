import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import { subscribe } from '../clock/index.js'
import type { Cancel, Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Notice, Notices } from '../notices/index.js'
import { announcementMs, suspicionCheckIntervalMs } from './constants.js'
import { formatAnnouncement, parseAnnouncement } from './incarnation-announcement.js'
import { ServiceMembers } from './service-members.js'
import type { EvaluatedMember } from './service-members.js'
import type { Suspicion, Member, MemberList } from './types.js'

/** What a directory is made of. */
export interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Where leaving nodes' own word arrives. */
  readonly notices: Notices
  /** Share of a service's live members that one list may take away without doubt. */
  readonly maxRemovalShareOf: (service: string) => number
}

interface View {
  readonly members: readonly Member[]
  readonly live: readonly Member[]
  readonly suspicions: ReadonlyMap<string, Suspicion>
}

const emptyView: View = { members: [], live: [], suspicions: new Map() }

/** The members of each service: the platform's list, corrected by the targets' own word and by results. */
export class Directory {
  /** Emits the name of a service whose members may have changed. */
  readonly changes: Stream<string>
  private readonly emit: (service: string) => void
  private readonly options: DirectoryOptions
  private readonly services = new Map<string, ServiceMembers>()
  private readonly views = new Map<string, View>()
  private readonly incarnations = new Map<string, string>()
  private readonly cancels: readonly Cancel[]

  private constructor (options: DirectoryOptions) {
    const [emit, changes] = createAdapter<string>()
    this.emit = emit
    this.changes = changes
    this.options = options
    this.cancels = [
      options.clock.every(suspicionCheckIntervalMs, () => { this.reviewSuspicions() }),
      subscribe(options.clock, options.notices.changes,
        notice => { this.applyNotice(notice) },
        error => { options.logger.error('notice-failed', { error: String(error) }) })
    ]
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Takes the platform's list of one service unless it is older than the one held. */
  accept (list: MemberList): boolean {
    const known = this.services.get(list.service) ?? ServiceMembers.create()
    this.services.set(list.service, known)
    if (!known.accept(list, this.options.maxRemovalShareOf(list.service), this.options.clock.now())) return false
    this.refreshView(list.service)
    return true
  }

  /** Notes which incarnation of a target answered; results outrank the list and older words. */
  recordAnswer (member: Member, incarnation: string): void {
    this.services.get(member.service)?.recordAnswer(member.id, this.options.clock.now())
    if (this.incarnations.get(member.id) === incarnation) return
    this.incarnations.set(member.id, incarnation)
    this.refreshView(member.service)
  }

  /** Tells the other nodes that this incarnation of a target takes no more work. */
  announceLeaving (member: Member, incarnation: string): void {
    this.announce('leaving', member, incarnation)
  }

  /** Tells the other nodes that a new incarnation of a target has started. */
  announceStarted (member: Member, incarnation: string): void {
    this.announce('started', member, incarnation)
  }

  /** Computes the view of a service anew, after a notice or a change of doubt. */
  refreshView (service: string): void {
    const before = this.views.get(service) ?? emptyView
    const view = this.computeView(service)
    if (isSameView(before, view)) return
    this.views.set(service, view)
    this.forgetRemovedMembers(before, view)
    this.logSuspicions(service, before, view)
    this.emit(service)
  }

  /** Targets of a service that may receive new work. The array stays the same until members change. */
  liveMembers (service: string): readonly Member[] {
    return (this.views.get(service) ?? emptyView).live
  }

  /** Every target of a service that is known, leaving ones included. */
  members (service: string): readonly Member[] {
    return (this.views.get(service) ?? emptyView).members
  }

  /** The member of that id, whatever its state. */
  find (service: string, id: string): Member | undefined {
    return this.members(service).find(member => member.id === id)
  }

  /** The incarnation that last answered for a target. */
  incarnationOf (id: string): string | undefined {
    return this.incarnations.get(id)
  }

  hasService (service: string): boolean {
    return this.services.has(service)
  }

  get serviceNames (): string[] {
    return [...this.services.keys()]
  }

  async close (): Promise<void> {
    for (const cancel of this.cancels) cancel()
  }

  dump (): unknown {
    const services = [...this.services].map(([name, held]) => {
      const view = this.views.get(name) ?? emptyView
      return [name, { version: held.version, live: view.live.length, members: view.members.length, doubts: Object.fromEntries(view.suspicions) }]
    })
    return { services: Object.fromEntries(services) }
  }

  private announce (kind: 'leaving' | 'started', { service, id }: Member, incarnation: string): void {
    this.options.notices.add(kind, formatAnnouncement({ service, id, incarnation }), announcementMs)
  }

  private applyNotice ({ kind, subject }: Notice): void {
    const word = parseAnnouncement(subject)
    if (word === undefined || (kind !== 'leaving' && kind !== 'started')) return
    const known = this.incarnations.get(word.id)
    // The word of an incarnation that was replaced says nothing about its successor.
    if (kind === 'leaving' && known !== undefined && known !== word.incarnation) return
    this.incarnations.set(word.id, word.incarnation)
    this.refreshView(word.service)
  }

  private reviewSuspicions (): void {
    const now = this.options.clock.now()
    for (const [service, held] of this.services) {
      if (held.hasSuspicions(now) || (this.views.get(service)?.suspicions.size ?? 0) > 0) this.refreshView(service)
    }
  }

  private computeView (service: string): View {
    const held = this.services.get(service)
    if (held === undefined) return emptyView
    const judged = held.evaluateMembers(this.options.clock.now()).map(one => this.applyAnnouncement(one))
    const live = judged.filter(({ member, suspicion: doubt }) => member.state === 'live' && doubt !== 'flapping' && doubt !== 'said-leaving')
    const doubts = judged.filter(({ suspicion: doubt }) => doubt !== 'none').map(({ member, suspicion: doubt }): [string, Suspicion] => [member.id, doubt])
    const flapping = judged.filter(({ member, suspicion: doubt }) => member.state === 'live' && doubt === 'flapping')
    // Holding back the only targets there are would refuse every call.
    const usable = live.length > 0 ? live : flapping
    return { members: judged.map(({ member }) => member), live: usable.map(({ member }) => member), suspicions: new Map(doubts) }
  }

  private applyAnnouncement (judged: EvaluatedMember): EvaluatedMember {
    const incarnation = this.incarnations.get(judged.member.id)
    if (incarnation === undefined) return judged
    const left = this.options.notices.has('leaving', formatAnnouncement({ service: judged.member.service, id: judged.member.id, incarnation }))
    return left ? { member: { ...judged.member, state: 'leaving' }, suspicion: 'said-leaving' } : judged
  }

  /** VMs are replaced under new names for as long as the process runs; what is held of the gone ones must not grow. */
  private forgetRemovedMembers (before: View, view: View): void {
    const held = new Set(view.members.map(member => member.id))
    for (const { id } of before.members) if (!held.has(id)) this.incarnations.delete(id)
  }

  private logSuspicions (service: string, before: View, view: View): void {
    for (const [member, doubt] of view.suspicions) {
      if (before.suspicions.get(member) !== doubt) this.options.logger.warn('member-suspected', { service, member, doubt })
    }
  }
}

function isSameView (one: View, other: View): boolean {
  if (one.members.length !== other.members.length || one.live.length !== other.live.length) return false
  if (!hasSameSuspicions(one.suspicions, other.suspicions)) return false
  const sameMembers = one.members.every((member, index) => isSameMember(member, other.members[index] as Member))
  return sameMembers && one.live.every((member, index) => member.id === other.live[index]?.id)
}

function hasSameSuspicions (one: ReadonlyMap<string, Suspicion>, other: ReadonlyMap<string, Suspicion>): boolean {
  return one.size === other.size && [...one].every(([id, doubt]) => other.get(id) === doubt)
}

function isSameMember (one: Member, other: Member): boolean {
  return one.id === other.id && one.state === other.state && one.ip === other.ip &&
    one.peerPort === other.peerPort && one.controlPort === other.controlPort && one.failureDomain === other.failureDomain
}
