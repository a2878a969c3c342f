/** HTTP servers of a node, and the requests that they have in flight. */
export { parseHost, parsePort } from './address.js'
export { closeServer } from './close-server.js'
export { listen } from './listen.js'
export { openServer } from './open-server.js'
export type { RequestHandler } from './open-server.js'
export { stopListening } from './stop-listening.js'
export { waitUntilSent } from './wait-until-sent.js'
export { InFlightRequests } from './in-flight-requests.js'
