import { isFinalStatus } from '../exchange/index.js'
import type { Headers } from '../exchange/index.js'

/** Checks of heads that other nodes send. The HTTP client and server throw on a head that fails one of them. */

const tokenPattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const headerValuePattern = /^[\t\u0020-\u007e\u0080-\u00ff]*$/
const pathPattern = /^[\u0021-\u00ff]+$/

/** Whether a text can be the method of a request. */
export function isMethod (text: string): boolean {
  return tokenPattern.test(text)
}

/** Whether a text can be the path of a request. */
export function isPath (text: string): boolean {
  return pathPattern.test(text)
}

/** Whether texts are alternating header names and values. */
export function areHeaders (texts: readonly string[]): texts is Headers {
  return texts.length % 2 === 0 && texts.every((text, index) => (index % 2 === 0 ? tokenPattern : headerValuePattern).test(text))
}

/** Returns the status of a final answer; undefined for any other text. */
export function parseStatus (text: string | undefined): number | undefined {
  const status = Number(text)
  return isFinalStatus(status) ? status : undefined
}
