/** Length of the window in which the requests sent to a target are counted for logs, in milliseconds. */
export const sentWindowMs = 4_000
