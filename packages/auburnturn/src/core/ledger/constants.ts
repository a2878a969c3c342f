/** Serials whose use one target remembers, one bit each: 128 KiB. A power of two. */
export const maxTrackedSerials = 1_048_576

/** Length of a ticket's message authentication code, in bytes. */
export const macBytes = 12

/** Longest ticket that is looked at, in characters. */
export const maxTicketLength = 400

/** Memory of one remembered call besides its texts and body, in bytes. */
export const outcomeOverheadBytes = 768

/** Sendings of one ticket that may wait for its running call. */
export const maxWaiters = 16
