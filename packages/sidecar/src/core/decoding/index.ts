/** Decodes values from untrusted sources: the store, other nodes and the settings. */
export { isAddress, maxPort, parseConnectableIp } from './address.js'
export { inflateJson } from './inflate-json.js'
export { maxDurationMs, maxInteger, maxSlots } from './constants.js'
export { asDurationMs, asInteger, asJsonObject, asNonEmptyString, asNonNegativeNumber, asPath, asText, asWellFormedString, parseJson } from './json-values.js'
export type { JsonObject } from './json-values.js'
