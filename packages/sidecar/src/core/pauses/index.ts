/** Notices that this process stood still: a timer is late, or the time of day ran on without the steady clock. */
export { PauseDetector } from './pause-detector.js'
