import type { Clock } from '../clock/index.js'
import { Tombstones } from '../configuration/index.js'
import type { Acceptance, Digest, Entry, EntrySource, Replica } from '../configuration/index.js'
import { compareEditions } from '../configuration/edition.js'
import type { Member, MemberList } from '../membership/index.js'

const prefix = 'member/'

/** Called with every member that came, changed or (with undefined) went. */
type Observe = (id: string, member: Member | undefined, entry: Entry) => void

interface Row { readonly entry: Entry, readonly member: Member | undefined }

/** The platform's member list as single versioned entries, so that the relay carries only what changed. */
export class Roster implements Replica {
  private readonly digest: Digest
  private readonly clock: Clock
  private readonly rows = new Map<string, Row>()
  private readonly tombstones = Tombstones.create()
  private readonly observers = new Set<Observe>()
  private highest = 0
  private changedAt: number | undefined
  private live = 0

  private constructor (digest: Digest, clock: Clock) {
    this.digest = digest
    this.clock = clock
  }

  static create ({ digest, clock }: { digest: Digest, clock: Clock }): Roster {
    return new Roster(digest, clock)
  }

  observe (observe: Observe): void {
    this.observers.add(observe)
  }

  /** Highest list version that a known change came from. */
  get version (): number {
    return this.highest
  }

  get size (): number {
    return this.live
  }

  members (): Member[] {
    const members: Member[] = []
    for (const { member } of this.rows.values()) if (member !== undefined) members.push(member)
    return members
  }

  owns (key: string): boolean {
    return key.startsWith(prefix)
  }

  get (key: string): Entry | undefined {
    return this.rows.get(key)?.entry
  }

  /** Takes what changed against the list held; false for a list older than one known. */
  acceptList ({ version, members }: MemberList): boolean {
    if (version < this.highest) return false
    const listed = new Set<string>()
    for (const member of members) {
      const key = prefix + member.id
      listed.add(key)
      const text = JSON.stringify(orderFields(member))
      if (this.rows.get(key)?.entry.text !== text) this.accept({ key, version, text }, 'platform')
    }
    for (const [key, { member }] of this.rows) {
      if (member !== undefined && !listed.has(key)) this.accept({ key, version, text: undefined }, 'platform')
    }
    this.highest = Math.max(this.highest, version)
    return true
  }

  accept (entry: Entry, source: EntrySource): Acceptance {
    const before = this.rows.get(entry.key)
    if (before === undefined && source === 'peer' && entry.version <= this.tombstones.floor) return 'older'
    const order = compareEditions(before?.entry, entry)
    if (order === 'same') return 'known'
    if (order === 'older') return 'older'
    if (order === 'conflict-lost') return 'conflict'
    const member = entry.text === undefined ? undefined : parseMember(entry.text)
    if (entry.text !== undefined && member === undefined) return 'rejected'
    this.put(entry, member, before)
    return 'accepted'
  }

  dump (): unknown {
    return { version: this.highest, members: this.live, removed: this.tombstones.size, changedAgeMs: this.changedAt === undefined ? null : this.clock.now() - this.changedAt }
  }

  private put (entry: Entry, member: Member | undefined, before: Row | undefined): void {
    this.rows.set(entry.key, { entry, member })
    this.digest.set(entry)
    this.highest = Math.max(this.highest, entry.version)
    this.changedAt = this.clock.now()
    this.live += Number(member !== undefined) - Number(before?.member !== undefined)
    if (member === undefined) this.bury(entry)
    else this.tombstones.delete(entry.key)
    for (const observe of this.observers) observe(entry.key.slice(prefix.length), member, entry)
  }

  private bury (entry: Entry): void {
    for (const key of this.tombstones.add(entry.key, entry.version)) {
      this.rows.delete(key)
      this.digest.delete(key)
    }
  }
}

/** One order of fields, so that equal members have equal texts. */
function orderFields ({ id, service, region, failureDomain, ip, peerPort, controlPort, state }: Member): Member {
  return { id, service, region, failureDomain, ip, peerPort, controlPort, state }
}

function parseMember (text: string): Member | undefined {
  try {
    const value = JSON.parse(text) as Member
    const whole = [value.id, value.service, value.region, value.failureDomain, value.ip, value.state].every(field => typeof field === 'string') &&
      Number.isInteger(value.peerPort) && Number.isInteger(value.controlPort)
    return whole ? value : undefined
  } catch {
    return undefined
  }
}
