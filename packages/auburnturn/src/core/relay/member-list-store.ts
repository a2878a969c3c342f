import type { Clock } from '../clock/index.js'
import { compareEditions } from '../configuration/index.js'
import type { AcceptResult, Digest, Entry, EntrySource, Replica } from '../configuration/index.js'
import type { Member, MemberList } from '../membership/index.js'
import { parseMembers } from '../platform/index.js'
import { maxServices } from './constants.js'

const prefix = 'members/'

/** The members of a new list by id; undefined for each removed member. */
export type MemberChanges = ReadonlyMap<string, Member | undefined>

/** Called with every list that this node accepted. */
type MemberListObserver = (entry: Entry, changes: MemberChanges, list: MemberList) => void

interface StoredList { readonly entry: Entry, readonly members: ReadonlyMap<string, Member> }

/** The platform's member lists as versioned entries, one per service, which the relay replicates like all other entries. */
export class MemberListStore implements Replica {
  private readonly digest: Digest
  private readonly clock: Clock
  private readonly lists = new Map<string, StoredList>()
  private readonly observers: MemberListObserver[] = []
  private highestVersion = 0
  private changedAt: number | undefined
  private memberCount = 0

  private constructor (digest: Digest, clock: Clock) {
    this.digest = digest
    this.clock = clock
  }

  static create ({ digest, clock }: { digest: Digest, clock: Clock }): MemberListStore {
    return new MemberListStore(digest, clock)
  }

  /** Adds an observer; it is never removed. */
  observe (observer: MemberListObserver): void {
    this.observers.push(observer)
  }

  /** Highest version of all lists. */
  get version (): number {
    return this.highestVersion
  }

  /** Number of members of all services. */
  get size (): number {
    return this.memberCount
  }

  owns (key: string): boolean {
    return key.startsWith(prefix)
  }

  get (key: string): Entry | undefined {
    return this.lists.get(key)?.entry
  }

  /** Accepts a member list that was read from the platform. */
  acceptList ({ service, version, members }: MemberList): AcceptResult {
    return this.accept({ key: prefix + service, version, text: JSON.stringify(members.map(normalizeFields)) }, 'platform')
  }

  accept (entry: Entry, _source: EntrySource): AcceptResult {
    if (!Number.isSafeInteger(entry.version) || entry.version < 0) return 'rejected'
    const previous = this.lists.get(entry.key)
    const order = compareEditions(previous?.entry, entry)
    if (order === 'same') return 'known'
    if (order === 'older') return 'older'
    if (order === 'conflict-lost') return 'conflict'
    const members = entry.text === undefined ? [] : parseMembers(entry.text)
    if (members === undefined || (previous === undefined && this.lists.size >= maxServices)) return 'rejected'
    this.replaceList(entry, new Map(members.map(member => [member.id, member])), previous?.members ?? new Map())
    return 'accepted'
  }

  dump (): unknown {
    return { version: this.highestVersion, services: this.lists.size, members: this.memberCount, changedAgeMs: this.changedAt === undefined ? null : this.clock.now() - this.changedAt }
  }

  private replaceList (entry: Entry, members: ReadonlyMap<string, Member>, previousMembers: ReadonlyMap<string, Member>): void {
    this.lists.set(entry.key, { entry, members })
    this.digest.set(entry)
    this.highestVersion = Math.max(this.highestVersion, entry.version)
    this.changedAt = this.clock.now()
    this.memberCount += members.size - previousMembers.size
    const removed = [...previousMembers.keys()].filter(id => !members.has(id)).map((id): [string, undefined] => [id, undefined])
    const changes = new Map<string, Member | undefined>([...removed, ...members])
    const list = { service: entry.key.slice(prefix.length), version: entry.version, members: [...members.values()] }
    for (const observer of this.observers) observer(entry, changes, list)
  }
}

/** Puts the fields in a fixed order, so that equal members have equal texts. */
function normalizeFields ({ id, service, region, failureDomain, ip, peerPort, controlPort, state }: Member): Member {
  return { id, service, region, failureDomain, ip, peerPort, controlPort, state }
}
