/** Detects pauses of this process: a timer fires late, or the time of day advances without the monotonic clock. */
export { PauseDetector } from './pause-detector.js'
