/** Client of the platform's read-and-watch service, and the reader that follows it. Reads only. */
export { Platform } from './platform.js'
export { PlatformReader } from './reader.js'
export type { PlatformReaderOptions } from './reader.js'
export { ReadShare } from './read-share.js'
export { parseMembers } from './schemas.js'
export type { ConfigurationPage, MemberPage } from './types.js'
