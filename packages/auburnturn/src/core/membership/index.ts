/** Which targets exist and may receive new work. */
export { Directory } from './directory.js'
export type { Member, MemberList } from './types.js'
