/** Time within which an accepted configuration is in force on every node, in milliseconds. */
export const maxConfigurationDelayMs = 10_000

/** Span over which a measuring budget may be spent at once, in milliseconds. */
export const measuringBurstMs = 1_000
