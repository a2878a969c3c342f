/** The catalogue of errors that people see, and the tagged union that carries them. */
export { errors } from './errors-data.js'
export { describeFault, Fault, isFault } from './fault.js'
export type { ErrorDefinition, FaultName } from './types.js'
