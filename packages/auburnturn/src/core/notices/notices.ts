import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import { maxNoticeAgeMs, maxNotices } from './constants.js'
import type { Notice, NoticeKind } from './types.js'

/** A bounded list of notices that expire. The relay distributes the notices that `changes` emits to the other nodes. */
export class Notices {
  /** Emits every added notice that was not yet stored or whose earlier copy had expired. */
  readonly changes: Stream<Notice>
  private readonly emit: (notice: Notice) => void
  private readonly clock: Clock
  private readonly noticesByKey = new Map<string, Notice>()

  private constructor (clock: Clock) {
    const [emit, changes] = createAdapter<Notice>()
    this.emit = emit
    this.changes = changes
    this.clock = clock
  }

  static create ({ clock }: { clock: Clock }): Notices {
    return new Notices(clock)
  }

  /** Adds a notice; false when it is already stored or has no time left. `remainingMs` is the time until it expires. */
  add (kind: NoticeKind, subject: string, remainingMs: number): boolean {
    const key = `${kind}/${subject}`
    if (remainingMs <= 0 || this.has(kind, subject)) return false
    const expiresAt = this.clock.now() + Math.min(remainingMs, maxNoticeAgeMs)
    const notice: Notice = { kind, subject, expiresAt }
    this.noticesByKey.set(key, notice)
    this.evictIfFull()
    this.emit(notice)
    return true
  }

  has (kind: NoticeKind, subject: string): boolean {
    const notice = this.noticesByKey.get(`${kind}/${subject}`)
    return notice !== undefined && notice.expiresAt > this.clock.now()
  }

  /** All notices that have not expired. */
  list (): Notice[] {
    const now = this.clock.now()
    for (const [key, notice] of this.noticesByKey) if (notice.expiresAt <= now) this.noticesByKey.delete(key)
    return [...this.noticesByKey.values()]
  }

  dump (): unknown {
    return this.list().map(({ kind, subject, expiresAt }) => ({ kind, subject, remainingMs: expiresAt - this.clock.now() }))
  }

  private evictIfFull (): void {
    if (this.noticesByKey.size <= maxNotices) return
    const [soonest] = this.list().sort((one, other) => one.expiresAt - other.expiresAt)
    if (soonest !== undefined && this.noticesByKey.size > maxNotices) this.noticesByKey.delete(`${soonest.kind}/${soonest.subject}`)
  }
}
