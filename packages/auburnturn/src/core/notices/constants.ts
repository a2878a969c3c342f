/** Notices held at once; the one that expires first gives way. */
export const maxNotices = 2_000

/** Longest life of a notice, in milliseconds. */
export const maxNoticeAgeMs = 3_600_000
