import 'roarr'
import { createLogger } from 'roarr/dist/factories/createLogger.js'
import type { Logger as Roarr, Message } from 'roarr'

/** The variable without which roarr drops every message. */
const switchName = 'ROARR_LOG'

/**
 * A roarr logger that hands its messages to `receive`, whatever the environment says.
 * Loggers that an embedding program makes of roarr itself stay as they are.
 */
export function createRoarr (receive: (message: Message) => void): Roarr {
  const before = process.env[switchName]
  process.env[switchName] = 'true' // roarr reads it when a logger is made
  try {
    return createLogger(receive)
  } finally {
    if (before === undefined) delete process.env[switchName]
    else process.env[switchName] = before
  }
}
