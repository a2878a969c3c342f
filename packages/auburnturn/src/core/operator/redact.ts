/** Keys whose text may be a credential or data that a caller sent. Credentials let a reader impersonate their owner. */
const secretKey = /^(authorization|proxy-authorization|cookie|set-cookie|password|secret|token|credentials?|tickets?|headers|body)$/i

/** Matches the query string of a path or URL inside a text. */
const queryString = /(\/[^\s?"]*)\?[^\s"]*/g

/** Replaces redacted text. */
const redactedMark = '…'

/** Formats state as JSON without credentials, tickets, header values, bodies and query strings. */
export function formatRedacted (state: unknown): string {
  return JSON.stringify(state, (key, value: unknown) => redact(key, value)) ?? 'null'
}

function redact (key: string, value: unknown): unknown {
  if (typeof value === 'bigint') return value.toString()
  if (secretKey.test(key) && containsText(value)) return redactedMark
  return typeof value === 'string' ? value.replace(queryString, `$1?${redactedMark}`) : value
}

function containsText (value: unknown): boolean {
  return typeof value === 'string' || (Array.isArray(value) && value.some(item => typeof item === 'string'))
}
