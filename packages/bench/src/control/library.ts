/** Classes of the library that the memory case uses. */
export { Clock, ControlClients, ControlServer, Directory, Logger, Notices } from 'auburnturn'
export { Measuring } from 'auburnturn/core/control'
