import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock/index.js'
import { notRun } from '../verdict/index.js'
import { lingerTimeoutMs } from './constants.js'
import { createProblem } from './problem.js'
import type { Problem } from './problem.js'

/** Creates the refusal of a request that Node.js could not read, by its error code; undefined if the caller disconnected. */
export function createClientErrorProblem (code: string | undefined): Problem | undefined {
  switch (code) {
    case 'ECONNRESET':
    case 'EPIPE':
      return undefined
    case 'HPE_HEADER_OVERFLOW':
      return createProblem(notRun('bad-request'), { status: 431, detail: 'The head of the request is too long.' })
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return createProblem(notRun('caller-idle'), { detail: 'The head of the request did not arrive in time.' })
    default:
      return createProblem(notRun('bad-request'), { detail: 'The request is not valid HTTP/1.1.' })
  }
}

/** Writes a refusal to a connection whose input can't be parsed further, and closes the connection. */
export function answerAndClose (socket: Duplex, problem: Problem, clock: Clock): void {
  const lines = [`HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`, 'connection: close']
  for (let index = 0; index < problem.headers.length; index += 2) {
    lines.push(`${problem.headers[index] as string}: ${problem.headers[index + 1] as string}`)
  }
  socket.on('error', () => {})
  socket.end(`${lines.join('\r\n')}\r\n\r\n${problem.body.toString()}`)
  // Bytes still in flight from the caller would turn an immediate close into a reset, and the answer would be lost.
  const timer = clock.timerWheel.after(lingerTimeoutMs, () => { socket.destroy() })
  socket.once('close', () => { timer.cancel() })
}
