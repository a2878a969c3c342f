/** Log lines that never hold up the process and stay bounded under load. */
export { LineWriter } from './line-writer.js'
