import { flappingExclusionMs, flapWindowMs, maxReturns, suspicionMs } from './constants.js'
import type { Member, MemberList, Suspicion } from './types.js'

interface MemberRecord {
  /** The member as last listed in state `live`, or as first listed. */
  member: Member
  /** The member's entry in the newest list; undefined when it has none. */
  listed: Member | undefined
  /** When a list removed the member, or marked it as leaving, together with too many others. */
  suspectedSince: number | undefined
  /** When the member was first missing from the list; undefined while it is listed. */
  unlistedSince: number | undefined
  /** When the member last answered. */
  lastAnswerAt: number
  /** When the member returned to the list as live, oldest first. */
  returnTimes: number[]
}

/** A member in the state to assume for it, and the reason when that differs from the list. */
export interface EvaluatedMember {
  readonly member: Member
  readonly suspicion: Suspicion
}

/** The targets of one service, from the lists and answers that this node received. All times are clock times in milliseconds. */
export class ServiceMembers {
  version = -1
  private readonly records = new Map<string, MemberRecord>()

  private constructor () {}

  static create (): ServiceMembers {
    return new ServiceMembers()
  }

  /**
   * Applies a list; false when it is not newer than the current one.
   * When a list removes or marks as leaving more than one live member and more than `maxRemovalShare` of all live
   * members, those members become suspected and stay usable.
   */
  accept (list: MemberList, maxRemovalShare: number, now: number): boolean {
    if (list.version <= this.version) return false
    this.version = list.version
    const listed = new Map(list.members.map(member => [member.id, member]))
    const suspected = this.findSuspected(listed, maxRemovalShare, now)
    for (const record of this.records.values()) {
      updateRecord(record, listed.get(record.member.id), suspected.has(record.member.id), now)
    }
    for (const member of listed.values()) this.addMember(member)
    this.removeExpired(now)
    return true
  }

  /** Records that a member answered a call. */
  recordAnswer (id: string, now: number): void {
    const record = this.records.get(id)
    if (record !== undefined) record.lastAnswerAt = now
  }

  /** Every listed member, and every suspected one that is kept in spite of the list. */
  evaluateMembers (now: number): EvaluatedMember[] {
    const evaluated: EvaluatedMember[] = []
    for (const record of this.records.values()) {
      if (isSuspected(record, now)) evaluated.push({ member: record.member, suspicion: 'missing' })
      else if (record.listed !== undefined) evaluated.push({ member: record.listed, suspicion: isFlapping(record, now) ? 'flapping' : 'none' })
    }
    return evaluated
  }

  /** Whether the result of `evaluateMembers` may change with time alone. */
  hasSuspicions (now: number): boolean {
    for (const record of this.records.values()) {
      if (record.suspectedSince !== undefined || isFlapping(record, now)) return true
    }
    return false
  }

  private findSuspected (listed: ReadonlyMap<string, Member>, maxRemovalShare: number, now: number): Set<string> {
    const live = this.evaluateMembers(now).filter(({ member }) => member.state === 'live')
    const removed = live.filter(({ member }) => listed.get(member.id)?.state !== 'live')
    const tooMany = removed.length > 1 && removed.length > live.length * maxRemovalShare
    return new Set(tooMany ? removed.map(({ member }) => member.id) : [])
  }

  private addMember (member: Member): void {
    if (this.records.has(member.id)) return
    this.records.set(member.id, {
      member, listed: member, suspectedSince: undefined, unlistedSince: undefined, lastAnswerAt: Number.NEGATIVE_INFINITY, returnTimes: []
    })
  }

  private removeExpired (now: number): void {
    for (const [id, record] of this.records) {
      if (record.unlistedSince === undefined || isSuspected(record, now)) continue
      if (now - record.unlistedSince >= flapWindowMs) this.records.delete(id)
    }
  }
}

function updateRecord (record: MemberRecord, listed: Member | undefined, suspected: boolean, now: number): void {
  const returned = listed?.state === 'live' && record.listed?.state !== 'live' && !isSuspected(record, now)
  if (returned) record.returnTimes = [...record.returnTimes.filter(at => now - at < flapWindowMs), now]
  record.listed = listed
  record.unlistedSince = listed === undefined ? record.unlistedSince ?? now : undefined
  if (suspected) record.suspectedSince ??= now
  else record.suspectedSince = undefined
  if (listed?.state === 'live') record.member = listed
}

/** A member stays suspected until `suspicionMs` after the list removed it or after its last answer, whichever is later. */
function isSuspected ({ suspectedSince, lastAnswerAt }: MemberRecord, now: number): boolean {
  if (suspectedSince === undefined) return false
  return now - Math.max(suspectedSince, lastAnswerAt) < suspicionMs
}

function isFlapping ({ returnTimes }: MemberRecord, now: number): boolean {
  const recent = returnTimes.filter(at => now - at < flapWindowMs)
  const last = recent[recent.length - 1]
  return last !== undefined && recent.length >= maxReturns && now - last < flappingExclusionMs
}
