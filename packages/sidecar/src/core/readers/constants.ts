/** How often a reader tells the other nodes that it reads, in milliseconds. */
export const noticeIntervalMs = 500

/** A reader that was not heard for this long, in milliseconds, no longer counts: two notices were lost, or it is gone. */
export const readerTimeoutMs = 1_200

/** Of two nodes that miss a reader, the one with the next higher address waits this much longer, in milliseconds. */
export const electionDelayStepMs = 20

/** A node whose failure domain has a reader leaves this much time to other failure domains, in milliseconds. */
export const servedDomainDelayMs = 200

/** A node that the others can't know of yet leaves the reading to them for this long from its start on, in milliseconds. */
export const discoveryTimeoutMs = 4_000

/** Nodes that miss a reader wait up to this long, in milliseconds. */
export const maxElectionDelayMs = 300

/** Most nodes that try a store that does not answer. */
export const maxFailingReaders = 4

/** After this long without an answer, in milliseconds, a reader lets another node try. */
export const failingReaderTimeoutMs = 3_000

/** How long it leaves that to the others, in milliseconds. */
export const electionBackoffMs = 6_000

/** Readers of a deployment with one or two failure domains. */
export const minReaders = 2

/** Readers of a larger deployment: two may be lost at once. Each costs calls to the store, each tells all nodes. */
export const maxReaders = 3
