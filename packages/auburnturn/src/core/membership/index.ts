/** Which targets exist and may receive new work: the platform's list, the targets' own word, and results. */
export { Directory } from './directory.js'
export type { DirectoryOptions } from './directory.js'
export type { Suspicion, Member, MemberList } from './types.js'
