/** The catalogue of errors that are shown to users, and the class that represents them. */
export { errors } from './errors-data.js'
export { describeFault, Fault, isFault } from './fault.js'
export type { ErrorDefinition, FaultName } from './types.js'
