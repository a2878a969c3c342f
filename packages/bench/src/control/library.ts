/** What the memory case takes from the library. */
export { Clock, ControlClients, ControlServer, Directory, Logger, Notices } from 'auburnturn'
export { Measuring } from 'auburnturn/core/control'
