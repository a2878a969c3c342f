import { flapWindowMs, flappingExclusionMs, maxReturns, suspicionMs } from './constants.js'
import type { Suspicion, Member, MemberList } from './types.js'

interface MemberRecord {
  /** The member as it was when the list last called it live, or as first listed. */
  member: Member
  /** What the newest list says; undefined when it does not name the member. */
  listed: Member | undefined
  /** When the list took the member away together with too many others. */
  suspectedSince: number | undefined
  /** When the newest list stopped naming it. */
  unlistedSince: number | undefined
  /** When the member last answered. */
  lastAnswerAt: number
  /** When it came back to the list, oldest first. */
  returnTimes: number[]
}

/** A member as it is to be treated, and why. */
export interface EvaluatedMember {
  readonly member: Member
  readonly suspicion: Suspicion
}

/** What one node holds of the targets of one service. Times are clock milliseconds. */
export class ServiceMembers {
  version = -1
  private readonly records = new Map<string, MemberRecord>()

  private constructor () {}

  static create (): ServiceMembers {
    return new ServiceMembers()
  }

  /**
   * Takes a list unless it is older than the one held.
   * `floor` is the share of live members that may vanish at once without doubt.
   */
  accept (list: MemberList, floor: number, now: number): boolean {
    if (list.version <= this.version) return false
    this.version = list.version
    const listed = new Map(list.members.map(member => [member.id, member]))
    const doubted = this.findSuspected(listed, floor, now)
    for (const held of this.records.values()) {
      updateRecord(held, listed.get(held.member.id), doubted.has(held.member.id), now)
    }
    for (const member of listed.values()) this.addMember(member)
    this.removeExpired(now)
    return true
  }

  /** Notes an answer of a member. */
  recordAnswer (id: string, now: number): void {
    const held = this.records.get(id)
    if (held !== undefined) held.lastAnswerAt = now
  }

  /** Every member that is listed or kept in spite of the list. */
  evaluateMembers (now: number): EvaluatedMember[] {
    const judged: EvaluatedMember[] = []
    for (const held of this.records.values()) {
      if (isSuspected(held, now)) judged.push({ member: held.member, suspicion: 'missing' })
      else if (held.listed !== undefined) judged.push({ member: held.listed, suspicion: isFlapping(held, now) ? 'flapping' : 'none' })
    }
    return judged
  }

  /** Whether time alone may change what `list` returns. */
  hasSuspicions (now: number): boolean {
    for (const held of this.records.values()) {
      if (held.suspectedSince !== undefined || isFlapping(held, now)) return true
    }
    return false
  }

  private findSuspected (listed: ReadonlyMap<string, Member>, floor: number, now: number): Set<string> {
    const live = this.evaluateMembers(now).filter(({ member }) => member.state === 'live')
    const lost = live.filter(({ member }) => listed.get(member.id)?.state !== 'live')
    const tooMany = lost.length > 1 && lost.length > live.length * floor
    return new Set(tooMany ? lost.map(({ member }) => member.id) : [])
  }

  private addMember (member: Member): void {
    if (this.records.has(member.id)) return
    this.records.set(member.id, {
      member, listed: member, suspectedSince: undefined, unlistedSince: undefined, lastAnswerAt: Number.NEGATIVE_INFINITY, returnTimes: []
    })
  }

  private removeExpired (now: number): void {
    for (const [id, held] of this.records) {
      if (held.unlistedSince === undefined || isSuspected(held, now)) continue
      if (now - held.unlistedSince >= flapWindowMs) this.records.delete(id)
    }
  }
}

function updateRecord (held: MemberRecord, listed: Member | undefined, doubted: boolean, now: number): void {
  const returned = listed?.state === 'live' && held.listed?.state !== 'live' && !isSuspected(held, now)
  if (returned) held.returnTimes = [...held.returnTimes.filter(at => now - at < flapWindowMs), now]
  held.listed = listed
  held.unlistedSince = listed === undefined ? held.unlistedSince ?? now : undefined
  if (doubted) held.suspectedSince ??= now
  else held.suspectedSince = undefined
  if (listed?.state === 'live') held.member = listed
}

/** A doubted member stays while suspicion lasts, and after that as long as it answers. */
function isSuspected ({ suspectedSince: doubtedSince, lastAnswerAt: heardAt }: MemberRecord, now: number): boolean {
  if (doubtedSince === undefined) return false
  return now - Math.max(doubtedSince, heardAt) < suspicionMs
}

function isFlapping ({ returnTimes: returns }: MemberRecord, now: number): boolean {
  const recent = returns.filter(at => now - at < flapWindowMs)
  const last = recent[recent.length - 1]
  return last !== undefined && recent.length >= maxReturns && now - last < flappingExclusionMs
}
