/** Control messages between nodes: Connect over cleartext HTTP/2. The code in `gen` is written by `npm run generate`. */
export { ControlClients } from './clients.js'
export { ControlServer } from './server.js'
export type { Routes } from './types.js'
export { Measuring } from './gen/auburnturn/v1/measuring_pb.js'
export { Relay } from './gen/auburnturn/v1/relay_pb.js'
export { Tickets } from './gen/auburnturn/v1/tickets_pb.js'
