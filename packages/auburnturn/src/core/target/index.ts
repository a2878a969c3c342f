/** This VM's own upstream behind its admission. */
export { Target } from './target.js'
