/** Writes log lines without blocking the process, and with a bounded rate and buffer. */
export { LineWriter } from './line-writer.js'
