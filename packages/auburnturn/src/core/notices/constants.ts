/** Maximum number of stored notices; beyond it, the one that expires first is removed. */
export const maxNotices = 2_000

/** Maximum time until a notice expires, in milliseconds. */
export const maxNoticeAgeMs = 3_600_000
