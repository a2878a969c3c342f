/** The settings of one node and the profiles of the configuration, with their schemas. */
export { parseDocument } from './document.js'
export { profileSchema, serviceSchema } from './profile.js'
export { settingsSchema } from './settings.js'
export type { Profile, ServiceChoice } from './profile.js'
export type { NodeSettings } from './settings.js'
export type { DocumentProblem, ParsedDocument } from './types.js'
