import { maxValueLength } from './constants.js'
import type { LogFields, LogLevel } from './types.js'

/** A value that is written without quotes. Other characters could be parsed as the start of the next pair. */
const unquotedValue = /^[\w.:/+@%-]+$/

/** Control characters and separators that a terminal or a line parser could interpret and that JSON does not escape. */
const unsafeCharacters = /[\u007F-\u009F\u00AD\u061C\u200B-\u200F\u2028-\u202E\u2060-\u2069\uFEFF]/g

/** Formats an event as one line of key=value pairs. The result never contains a line break, whatever the values are. */
export function formatEvent (time: number, level: LogLevel, subsystem: string, event: string, fields: LogFields): string {
  const pairs = [`time=${new Date(time).toISOString()}`, `level=${level}`, `subsystem=${formatKey(subsystem)}`, `event=${formatKey(event)}`]
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${formatKey(key)}=${quoteValue(String(value))}`)
  }
  return pairs.join(' ')
}

/** Quotes a value where necessary and truncates a long one; escapes quotes, line breaks and control characters. */
export function quoteValue (value: string): string {
  const truncated = value.length > maxValueLength ? `${value.slice(0, maxValueLength)}…` : value
  if (unquotedValue.test(truncated)) return truncated
  return JSON.stringify(truncated).replace(unsafeCharacters, escapeCharacter)
}

function formatKey (key: string): string {
  return key.replace(/[^\w.-]/g, '_') || '_'
}

function escapeCharacter (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
