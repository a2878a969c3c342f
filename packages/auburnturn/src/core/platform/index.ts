/** Client of the platform's read-and-watch service. Reads only. */
export { Platform } from './platform.js'
export type { ConfigurationPage, MemberPage } from './types.js'
