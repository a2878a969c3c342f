/** How each node tells the others of the target beside it. */
export { decodeReport, encodeReport } from './codec.js'
export type { Report } from './codec.js'
export { Datagrams } from './datagrams.js'
export { Reporter } from './reporter.js'
