import type { Clock } from '../clock/index.js'
import { compareEditions } from '../configuration/index.js'
import type { AcceptResult, Digest, Entry, EntrySource, Replica } from '../configuration/index.js'
import type { Member, MemberList } from '../membership/index.js'
import { parseMembers } from '../platform/index.js'
import { maxServices } from './constants.js'

const prefix = 'members/'

/** Members that came or changed, and (undefined) those that went. */
export type MemberChanges = ReadonlyMap<string, Member | undefined>

/** Called with every list that was new here. */
type Observe = (entry: Entry, changes: MemberChanges, list: MemberList) => void

interface Row { readonly entry: Entry, readonly members: ReadonlyMap<string, Member> }

/** The platform's member lists as versioned entries, one a service, that the relay carries like any other. */
export class Roster implements Replica {
  private readonly digest: Digest
  private readonly clock: Clock
  private readonly rows = new Map<string, Row>()
  private readonly observers: Observe[] = []
  private highest = 0
  private changedAt: number | undefined
  private members = 0

  private constructor (digest: Digest, clock: Clock) {
    this.digest = digest
    this.clock = clock
  }

  static create ({ digest, clock }: { digest: Digest, clock: Clock }): Roster {
    return new Roster(digest, clock)
  }

  observe (observe: Observe): void {
    this.observers.push(observe)
  }

  /** Highest version of any list. */
  get version (): number {
    return this.highest
  }

  /** Members over all services. */
  get size (): number {
    return this.members
  }

  owns (key: string): boolean {
    return key.startsWith(prefix)
  }

  get (key: string): Entry | undefined {
    return this.rows.get(key)?.entry
  }

  /** Takes one list of the platform. */
  acceptList ({ service, version, members }: MemberList): AcceptResult {
    return this.accept({ key: prefix + service, version, text: JSON.stringify(members.map(orderFields)) }, 'platform')
  }

  accept (entry: Entry, _source: EntrySource): AcceptResult {
    const before = this.rows.get(entry.key)
    const order = compareEditions(before?.entry, entry)
    if (order === 'same') return 'known'
    if (order === 'older') return 'older'
    if (order === 'conflict-lost') return 'conflict'
    const members = entry.text === undefined ? [] : parseMembers(entry.text)
    if (members === undefined || (before === undefined && this.rows.size >= maxServices)) return 'rejected'
    this.put(entry, new Map(members.map(member => [member.id, member])), before?.members ?? new Map())
    return 'accepted'
  }

  dump (): unknown {
    return { version: this.highest, services: this.rows.size, members: this.members, changedAgeMs: this.changedAt === undefined ? null : this.clock.now() - this.changedAt }
  }

  private put (entry: Entry, members: ReadonlyMap<string, Member>, before: ReadonlyMap<string, Member>): void {
    this.rows.set(entry.key, { entry, members })
    this.digest.set(entry)
    this.highest = Math.max(this.highest, entry.version)
    this.changedAt = this.clock.now()
    this.members += members.size - before.size
    const gone = [...before.keys()].filter(id => !members.has(id)).map((id): [string, undefined] => [id, undefined])
    const changes = new Map<string, Member | undefined>([...gone, ...members])
    const list = { service: entry.key.slice(prefix.length), version: entry.version, members: [...members.values()] }
    for (const observe of this.observers) observe(entry, changes, list)
  }
}

/** One order of fields, so that equal members have equal texts. */
function orderFields ({ id, service, region, failureDomain, ip, peerPort, controlPort, state }: Member): Member {
  return { id, service, region, failureDomain, ip, peerPort, controlPort, state }
}
