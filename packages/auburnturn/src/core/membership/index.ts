/** Which targets exist and may receive new calls, from the platform's list, the targets' announcements and call results. */
export { Directory } from './directory.js'
export type { DirectoryOptions } from './directory.js'
export type { Member, MemberList, Suspicion } from './types.js'
