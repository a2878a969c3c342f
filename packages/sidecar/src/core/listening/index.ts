/** HTTP servers of a node, and the requests that they have under way. */
export { hostOf, portOf } from './address.js'
export { openServer } from './open-server.js'
export type { Handle } from './open-server.js'
export { stopListening } from './stop-listening.js'
export { UnderWay } from './under-way.js'
