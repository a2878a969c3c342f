/** The router embedded in a service, in place of the node on its VM: it saves a hop. */
export { Client } from './client.js'
export type { CallResult, ClientOptions, ClientRequest } from './types.js'
