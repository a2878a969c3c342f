import type { ConnectRouter } from '@connectrpc/connect'

/** Adds the handlers of one part to the control server. */
export type Routes = (router: ConnectRouter) => void

/** Bytes and messages of all control traffic, both ways. */
export interface ControlTraffic {
  readonly bytes: number
  readonly messages: number
}
