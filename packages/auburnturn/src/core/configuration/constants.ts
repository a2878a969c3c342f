/** Largest text of one entry, in bytes of UTF-8. */
export const maxEntryTextBytes = 1_048_576

/** Buckets of the digest; a difference in one entry makes one bucket differ. */
export const digestBucketCount = 64

/** Entries held in all, removed ones included. */
export const maxEntries = 50_000

/** Removed entries remembered; the lowest versions are forgotten first. */
export const maxTombstones = 10_000

/** Refused entries shown in the dump. */
export const maxRefusals = 50
