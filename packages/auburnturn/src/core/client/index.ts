/** The router embedded in a service. It replaces the node on the service's VM for outgoing calls, which saves a hop. */
export { Client } from './client.js'
export type { CallResult, ClientOptions, ClientRequest } from './types.js'
