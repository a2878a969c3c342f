/** All kinds of notices. Notices of other kinds received from peers are dropped. */
export const noticeKinds = [
  'leaving', // subject: SERVICE/MEMBER/INCARNATION
  'started', // subject: SERVICE/MEMBER/INCARNATION
  'suspect' // subject: FINGERPRINT/shared for a crash with others in flight, FINGERPRINT/N for the N-th crash alone
] as const

/** Kind of a notice, which determines the format of its subject. */
export type NoticeKind = typeof noticeKinds[number]

/** A fact that expires. */
export interface Notice {
  readonly kind: NoticeKind
  readonly subject: string
  /** Clock time in milliseconds on this node. */
  readonly expiresAt: number
}
