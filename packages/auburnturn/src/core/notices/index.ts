/** Short-lived notices between nodes: a started or leaving incarnation, a suspect request. */
export { Notices } from './notices.js'
export { noticeKinds } from './types.js'
export type { Notice, NoticeKind } from './types.js'
