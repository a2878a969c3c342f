/** Short-lived facts that nodes tell each other: a leaving incarnation, a request under suspicion. */
export { Notices } from './notices.js'
export { noticeKinds } from './types.js'
export type { Notice, NoticeKind } from './types.js'
