/** The users' platform: names, formats and calls. Decides nothing; nothing outside this folder knows its words. */
export { configurationKey, decodeConfiguration } from './configuration.js'
export { protocol } from './protocol.js'
export { ReadinessServer } from './readiness.js'
export { parseSettings, readSettings, settingsVariable } from './settings.js'
export { HttpStoreClient } from './http-store-client.js'
export { decodeTarget, targetKeyPrefix } from './targets.js'
