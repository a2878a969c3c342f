/** Maximum time until an accepted configuration is active on every node, in milliseconds. */
export const maxConfigurationDelayMs = 10_000

/** Maximum burst of a measuring budget: the budget of this many milliseconds may be spent immediately. */
export const measuringBurstMs = 1_000
