import { flapWindowMs, holdBackMs, maxReturns, suspicionMs } from './constants.js'
import type { Doubt, Member, MemberList } from './types.js'

interface Held {
  /** The member as it was when the list last called it live, or as first listed. */
  member: Member
  /** What the newest list says; undefined when it does not name the member. */
  listed: Member | undefined
  /** When the list took the member away together with too many others. */
  doubtedSince: number | undefined
  /** When the newest list stopped naming it. */
  goneSince: number | undefined
  /** When the member last answered. */
  heardAt: number
  /** When it came back to the list, oldest first. */
  returns: number[]
}

/** A member as it is to be treated, and why. */
export interface JudgedMember {
  readonly member: Member
  readonly doubt: Doubt
}

/** What one node holds of the targets of one service. Times are clock milliseconds. */
export class ServiceMembers {
  version = -1
  private readonly held = new Map<string, Held>()

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
    const doubted = this.findDoubted(listed, floor, now)
    for (const held of this.held.values()) {
      update(held, listed.get(held.member.id), doubted.has(held.member.id), now)
    }
    for (const member of listed.values()) this.add(member)
    this.forget(now)
    return true
  }

  /** Notes an answer of a member. */
  hear (id: string, now: number): void {
    const held = this.held.get(id)
    if (held !== undefined) held.heardAt = now
  }

  /** Every member that is listed or kept in spite of the list. */
  list (now: number): JudgedMember[] {
    const judged: JudgedMember[] = []
    for (const held of this.held.values()) {
      if (isDoubted(held, now)) judged.push({ member: held.member, doubt: 'missing' })
      else if (held.listed !== undefined) judged.push({ member: held.listed, doubt: isFlapping(held, now) ? 'flapping' : 'none' })
    }
    return judged
  }

  /** Whether time alone may change what `list` returns. */
  hasDoubts (now: number): boolean {
    for (const held of this.held.values()) {
      if (held.doubtedSince !== undefined || isFlapping(held, now)) return true
    }
    return false
  }

  private findDoubted (listed: ReadonlyMap<string, Member>, floor: number, now: number): Set<string> {
    const live = this.list(now).filter(({ member }) => member.state === 'live')
    const lost = live.filter(({ member }) => listed.get(member.id)?.state !== 'live')
    const tooMany = lost.length > 1 && lost.length > live.length * floor
    return new Set(tooMany ? lost.map(({ member }) => member.id) : [])
  }

  private add (member: Member): void {
    if (this.held.has(member.id)) return
    this.held.set(member.id, {
      member, listed: member, doubtedSince: undefined, goneSince: undefined, heardAt: Number.NEGATIVE_INFINITY, returns: []
    })
  }

  private forget (now: number): void {
    for (const [id, held] of this.held) {
      if (held.goneSince === undefined || isDoubted(held, now)) continue
      if (now - held.goneSince >= flapWindowMs) this.held.delete(id)
    }
  }
}

function update (held: Held, listed: Member | undefined, doubted: boolean, now: number): void {
  const returned = listed?.state === 'live' && held.listed?.state !== 'live' && !isDoubted(held, now)
  if (returned) held.returns = [...held.returns.filter(at => now - at < flapWindowMs), now]
  held.listed = listed
  held.goneSince = listed === undefined ? held.goneSince ?? now : undefined
  if (doubted) held.doubtedSince ??= now
  else held.doubtedSince = undefined
  if (listed?.state === 'live') held.member = listed
}

/** A doubted member stays while suspicion lasts, and after that as long as it answers. */
function isDoubted ({ doubtedSince, heardAt }: Held, now: number): boolean {
  if (doubtedSince === undefined) return false
  return now - Math.max(doubtedSince, heardAt) < suspicionMs
}

function isFlapping ({ returns }: Held, now: number): boolean {
  const recent = returns.filter(at => now - at < flapWindowMs)
  const last = recent[recent.length - 1]
  return last !== undefined && recent.length >= maxReturns && now - last < holdBackMs
}
