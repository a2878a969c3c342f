/** Interval between the notices of a reader, in milliseconds. */
export const noticeIntervalMs = 500

/** A reader is no longer counted after this long without a notice, in milliseconds: two notices were lost, or it has failed. */
export const readerTimeoutMs = 1_200

/** Difference of the election delays of two nodes with consecutive addresses in a failure domain, in milliseconds. */
export const electionDelayStepMs = 20

/** Added election delay in a failure domain that has a reader, in milliseconds, so that other failure domains come first. */
export const servedDomainDelayMs = 200

/** For this long after its start, a node that the others can't have discovered yet does not become a reader, in milliseconds. */
export const discoveryTimeoutMs = 4_000

/** Longest election delay, in milliseconds. */
export const maxElectionDelayMs = 300

/** No further node becomes a reader while this many readers get no answer from the store. */
export const maxFailingReaders = 4

/** After this long without an answer, in milliseconds, a reader stops so that another node can try. */
export const failingReaderTimeoutMs = 3_000

/** How long a reader that stopped for lack of answers lets other nodes try, in milliseconds. */
export const electionBackoffMs = 6_000

/** Number of readers in a deployment with one or two failure domains. */
export const minReaders = 2

/**
 * Number of readers in a larger deployment: two can fail at the same time. Each reader adds calls to the store and
 * notices to all nodes.
 */
export const maxReaders = 3
