/** Every kind of notice; others that a peer sends are dropped. */
export const noticeKinds = [
  'leaving', // subject: SERVICE/MEMBER/INCARNATION
  'started', // subject: SERVICE/MEMBER/INCARNATION
  'suspect' // subject: fingerprint of a request that was in flight at a crash
] as const

/** What a notice is about. */
export type NoticeKind = typeof noticeKinds[number]

/** A fact that is forgotten after a while. */
export interface Notice {
  readonly kind: NoticeKind
  readonly subject: string
  /** Clock time in milliseconds on this node. */
  readonly expiresAt: number
}
