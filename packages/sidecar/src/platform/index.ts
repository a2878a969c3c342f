/**
 * Names, formats and calls of the users' platform. They are used in this folder only, and the folder contains no
 * decisions.
 */
export { configurationKey, decodeConfiguration } from './configuration.js'
export { protocol } from './protocol.js'
export { ReadinessServer } from './readiness.js'
export { parseSettings, readSettings, settingsVariable } from './settings.js'
export { HttpStoreClient } from './http-store-client.js'
export { decodeTarget, targetKeyPrefix } from './targets.js'
