/** Newest serials of a target whose use is tracked, one bit each: 128 KiB. A power of two. */
export const maxTrackedSerials = 1_048_576

/** Length of a ticket's message authentication code, in bytes. */
export const macBytes = 12

/** Maximum length of a ticket, in characters; a longer text is rejected without parsing. */
export const maxTicketLength = 400

/** Estimated memory of one cached outcome besides its texts and body, in bytes. */
export const outcomeOverheadBytes = 768

/** Maximum number of requests with one ticket that wait for its running call. */
export const maxWaiters = 16
