// The two parts of undici that the node uses; its index would load all of them.
export { default as Client } from 'undici/lib/dispatcher/client.js'
export { default as buildConnector } from 'undici/lib/core/connect.js'
