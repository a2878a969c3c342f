/** Spreads configuration, members and notices between nodes without votes and within a bound of bytes. */
export { Budget } from './budget.js'
export { Readership } from './readership.js'
export { Relay } from './relay.js'
export type { RelayOptions } from './relay.js'
export { Roster } from './roster.js'
export { Topology } from './topology.js'
export type { Peer } from './topology.js'
export type { Role } from './readership.js'
