/**
 * Time and timers for all modules, on a @most/scheduler.
 * No code outside this folder reads the system clock or sets a timer directly.
 */
export { Cancellation } from './cancellation.js'
export type { CancelSignal } from './cancellation.js'
export { Clock } from './clock.js'
export { ManualClock } from './manual-clock.js'
export { TimerWheel } from './timer-wheel.js'
export type { Timeout } from './timer-wheel.js'
export { subscribe } from './subscribe.js'
export type { Cancel } from './clock.js'
