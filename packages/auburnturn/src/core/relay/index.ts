/** Replicates configuration, member lists and notices between nodes, without voting and within a byte budget. */
export { ByteBudget } from './byte-budget.js'
export { MemberListStore } from './member-list-store.js'
export { ReaderElection } from './reader-election.js'
export type { Role } from './reader-election.js'
export { Relay } from './relay.js'
export type { RelayOptions } from './relay.js'
export { Topology } from './topology.js'
export type { Peer } from './topology.js'
