import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import { maxNoticeAgeMs, maxNotices } from './constants.js'
import type { Notice, NoticeKind } from './types.js'

/** A bounded, expiring list of notices; the relay spreads what `changes` emits. */
export class Notices {
  /** Emits every notice that is new here or lives longer than known. */
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

  /** Takes a notice; false when it was already known. */
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

  /** Every notice that has not expired. */
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
    const [first] = this.list().sort((one, other) => one.expiresAt - other.expiresAt)
    if (first !== undefined && this.noticesByKey.size > maxNotices) this.noticesByKey.delete(`${first.kind}/${first.subject}`)
  }
}
