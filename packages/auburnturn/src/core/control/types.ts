import type { ConnectRouter } from '@connectrpc/connect'

/** Adds the handlers of one component to the router of the control server. */
export type Routes = (router: ConnectRouter) => void

/** Total control traffic: bytes in both directions, and number of messages. */
export interface ControlTraffic {
  readonly bytes: number
  readonly messages: number
}
