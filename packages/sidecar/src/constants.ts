/** Interval at which the settings file is read again, in milliseconds, since it may change without a signal. */
export const settingsCheckIntervalMs = 2_000
