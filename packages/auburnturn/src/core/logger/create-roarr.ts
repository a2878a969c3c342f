import 'roarr'
import { createLogger } from 'roarr/dist/factories/createLogger.js'
import type { Logger as Roarr, Message } from 'roarr'

/** Environment variable without which roarr drops every message. */
const enablingVariable = 'ROARR_LOG'

/**
 * Creates a roarr logger that passes its messages to `onMessage`, whether or not the environment enables roarr.
 * Loggers that an embedding program creates with roarr are not affected.
 */
export function createRoarr (onMessage: (message: Message) => void): Roarr {
  const previous = process.env[enablingVariable]
  process.env[enablingVariable] = 'true' // read by roarr when a logger is created
  try {
    return createLogger(onMessage)
  } finally {
    if (previous === undefined) delete process.env[enablingVariable]
    else process.env[enablingVariable] = previous
  }
}
