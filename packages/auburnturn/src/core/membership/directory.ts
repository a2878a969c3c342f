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
import type { Member, MemberList, Suspicion } from './types.js'

/** Dependencies and settings of a directory. */
export interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Notices in which nodes announce that an incarnation has started or is leaving. */
  readonly notices: Notices
  /** Share of a service's live members, 0 to 1, that one list may remove without raising a suspicion. */
  readonly getMaxRemovalShare: (service: string) => number
}

interface View {
  readonly members: readonly Member[]
  readonly live: readonly Member[]
  readonly suspicions: ReadonlyMap<string, Suspicion>
}

const emptyView: View = { members: [], live: [], suspicions: new Map() }

/** The members of each service: the platform's list, corrected by the targets' announcements and by call results. */
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
      options.clock.every(suspicionCheckIntervalMs, () => { this.refreshViewsWithSuspicions() }),
      subscribe(options.clock, options.notices.changes,
        notice => { this.applyNotice(notice) },
        error => { options.logger.error('notice-failed', { error: String(error) }) })
    ]
  }

  static create (options: DirectoryOptions): Directory {
    return new Directory(options)
  }

  /** Applies the platform's list of one service; false when it is not newer than the current one. */
  accept (list: MemberList): boolean {
    const members = this.services.get(list.service) ?? ServiceMembers.create()
    this.services.set(list.service, members)
    if (!members.accept(list, this.options.getMaxRemovalShare(list.service), this.options.clock.now())) return false
    this.refreshView(list.service)
    return true
  }

  /** Records which incarnation of a target answered. The answer takes precedence over the list and earlier announcements. */
  recordAnswer (member: Member, incarnation: string): void {
    this.services.get(member.service)?.recordAnswer(member.id, this.options.clock.now())
    if (this.incarnations.get(member.id) === incarnation) return
    this.incarnations.set(member.id, incarnation)
    this.refreshView(member.service)
  }

  /** Announces to the other nodes that this incarnation of a target accepts no new calls. */
  announceLeaving (member: Member, incarnation: string): void {
    this.announce('leaving', member, incarnation)
  }

  /** Announces to the other nodes that a new incarnation of a target has started. */
  announceStarted (member: Member, incarnation: string): void {
    this.announce('started', member, incarnation)
  }

  /** Recomputes the view of a service and emits a change if it differs. */
  refreshView (service: string): void {
    const before = this.views.get(service) ?? emptyView
    const view = this.computeView(service)
    if (isSameView(before, view)) return
    this.views.set(service, view)
    this.deleteRemovedIncarnations(before, view)
    this.logSuspicions(service, before, view)
    this.emit(service)
  }

  /** Targets of a service that may receive new calls. Returns the same array until the members change. */
  liveMembers (service: string): readonly Member[] {
    return (this.views.get(service) ?? emptyView).live
  }

  /** All known targets of a service, including those that are leaving. */
  members (service: string): readonly Member[] {
    return (this.views.get(service) ?? emptyView).members
  }

  /** The member with that id in any state; undefined when there is none. */
  find (service: string, id: string): Member | undefined {
    return this.members(service).find(member => member.id === id)
  }

  /** The incarnation of a target that answered or was announced last. */
  getIncarnation (id: string): string | undefined {
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
    const services = [...this.services].map(([name, members]) => {
      const view = this.views.get(name) ?? emptyView
      return [name, { version: members.version, live: view.live.length, members: view.members.length, doubts: Object.fromEntries(view.suspicions) }]
    })
    return { services: Object.fromEntries(services) }
  }

  private announce (kind: 'leaving' | 'started', { service, id }: Member, incarnation: string): void {
    this.options.notices.add(kind, formatAnnouncement({ service, id, incarnation }), announcementMs)
  }

  private applyNotice ({ kind, subject }: Notice): void {
    const announcement = parseAnnouncement(subject)
    if (announcement === undefined || (kind !== 'leaving' && kind !== 'started')) return
    const knownIncarnation = this.incarnations.get(announcement.id)
    // An announcement of a replaced incarnation does not apply to its successor.
    if (kind === 'leaving' && knownIncarnation !== undefined && knownIncarnation !== announcement.incarnation) return
    this.incarnations.set(announcement.id, announcement.incarnation)
    this.refreshView(announcement.service)
  }

  private refreshViewsWithSuspicions (): void {
    const now = this.options.clock.now()
    for (const [service, members] of this.services) {
      if (members.hasSuspicions(now) || (this.views.get(service)?.suspicions.size ?? 0) > 0) this.refreshView(service)
    }
  }

  private computeView (service: string): View {
    const members = this.services.get(service)
    if (members === undefined) return emptyView
    const evaluated = members.evaluateMembers(this.options.clock.now()).map(member => this.applyAnnouncement(member))
    const live = evaluated.filter(({ member, suspicion }) => member.state === 'live' && suspicion !== 'flapping' && suspicion !== 'said-leaving')
    const suspicions = evaluated.filter(({ suspicion }) => suspicion !== 'none').map(({ member, suspicion }): [string, Suspicion] => [member.id, suspicion])
    const flapping = evaluated.filter(({ member, suspicion }) => member.state === 'live' && suspicion === 'flapping')
    // With no other live target, flapping ones are used: excluding them would refuse every call.
    const usable = live.length > 0 ? live : flapping
    return { members: evaluated.map(({ member }) => member), live: usable.map(({ member }) => member), suspicions: new Map(suspicions) }
  }

  private applyAnnouncement (evaluated: EvaluatedMember): EvaluatedMember {
    const incarnation = this.incarnations.get(evaluated.member.id)
    if (incarnation === undefined) return evaluated
    const leaving = this.options.notices.has('leaving', formatAnnouncement({ service: evaluated.member.service, id: evaluated.member.id, incarnation }))
    return leaving ? { member: { ...evaluated.member, state: 'leaving' }, suspicion: 'said-leaving' } : evaluated
  }

  /**
   * Deletes the incarnations of removed members. VMs are replaced under new names for as long as the process runs, so the
   * map would otherwise grow without limit.
   */
  private deleteRemovedIncarnations (before: View, view: View): void {
    const remainingIds = new Set(view.members.map(member => member.id))
    for (const { id } of before.members) if (!remainingIds.has(id)) this.incarnations.delete(id)
  }

  private logSuspicions (service: string, before: View, view: View): void {
    for (const [member, suspicion] of view.suspicions) {
      if (before.suspicions.get(member) !== suspicion) this.options.logger.warn('member-suspected', { service, member, doubt: suspicion })
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
  return one.size === other.size && [...one].every(([id, suspicion]) => other.get(id) === suspicion)
}

function isSameMember (one: Member, other: Member): boolean {
  return one.id === other.id && one.state === other.state && one.ip === other.ip &&
    one.peerPort === other.peerPort && one.controlPort === other.controlPort && one.failureDomain === other.failureDomain
}
