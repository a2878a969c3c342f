import { maxValueLength } from './constants.js'
import type { LogFields, LogLevel } from './types.js'

/** Characters that need no quotes; anything else could be taken for the next pair. */
const unquotedValue = /^[\w.:/+@%-]+$/

/** Controls and separators that a terminal or a reader of lines could act on, beyond those that JSON escapes. */
const unsafeCharacters = /[\u007F-\u009F\u00AD\u061C\u200B-\u200F\u2028-\u202E\u2060-\u2069\uFEFF]/g

/** One event as a line of key=value pairs. Never holds a line end, whatever the values are. */
export function formatEvent (time: number, level: LogLevel, subsystem: string, event: string, fields: LogFields): string {
  const pairs = [`time=${new Date(time).toISOString()}`, `level=${level}`, `subsystem=${formatKey(subsystem)}`, `event=${formatKey(event)}`]
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${formatKey(key)}=${quoteValue(String(value))}`)
  }
  return pairs.join(' ')
}

/** Quotes a value unless it is plain; quotes, line ends and control characters are escaped. */
export function quoteValue (value: string): string {
  const cut = value.length > maxValueLength ? `${value.slice(0, maxValueLength)}…` : value
  if (unquotedValue.test(cut)) return cut
  return JSON.stringify(cut).replace(unsafeCharacters, escapeCharacter)
}

function formatKey (key: string): string {
  return key.replace(/[^\w.-]/g, '_') || '_'
}

function escapeCharacter (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
