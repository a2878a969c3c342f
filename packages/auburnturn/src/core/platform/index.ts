/** Client of the platform's read-and-watch service, and the reader that follows it. Neither writes to the platform. */
export { FollowerReadSchedule } from './follower-read-schedule.js'
export { PlatformClient } from './platform-client.js'
export { PlatformReader } from './platform-reader.js'
export type { PlatformReaderOptions } from './platform-reader.js'
export { parseMembers } from './decode-members.js'
export type { ConfigurationPage, MemberPage } from './types.js'
