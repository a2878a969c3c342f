/** Maximum size of the text of one entry, in bytes of UTF-8. */
export const maxEntryTextBytes = 1_048_576

/** Number of hash buckets of the digest. A change of one entry changes exactly one bucket. */
export const digestBucketCount = 64

/** Maximum number of stored entries, including removed ones. */
export const maxEntries = 50_000

/** Maximum number of removed entries that are stored. Beyond it, the ones with the lowest versions are evicted first. */
export const maxTombstones = 10_000

/** Maximum number of rejected entries in the dump, and of conflicts. */
export const maxDeclinedEntries = 50
