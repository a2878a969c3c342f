/**
 * Header names, paths, formats and calls of the users' platform. Only this folder depends on them, and it makes no routing
 * decisions.
 */
export { configurationKey, decodeConfiguration } from './configuration.js'
export { protocol } from './protocol.js'
export { ReadinessServer } from './readiness.js'
export { parseSettings, readSettings, settingsVariable } from './settings.js'
export { HttpStoreClient } from './http-store-client.js'
export { decodeTarget, targetKeyPrefix } from './targets.js'
