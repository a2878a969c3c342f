/** Keys whose text could let its reader act as somebody else, or hold what a caller sent. */
const secretKey = /^(authorization|proxy-authorization|cookie|set-cookie|password|secret|token|credentials?|tickets?|headers|body)$/i

/** The query of a path or URL inside a text. */
const query = /(\/[^\s?"]*)\?[^\s"]*/g

/** What stands in the place of something left out. */
const leftOut = '…'

/** Writes state as JSON without credentials, tickets, header values, bodies and query strings. */
export function formatState (state: unknown): string {
  return JSON.stringify(state, (key, value: unknown) => redact(key, value)) ?? 'null'
}

function redact (key: string, value: unknown): unknown {
  if (typeof value === 'bigint') return value.toString()
  if (secretKey.test(key) && holdsText(value)) return leftOut
  return typeof value === 'string' ? value.replace(query, `$1?${leftOut}`) : value
}

function holdsText (value: unknown): boolean {
  return typeof value === 'string' || (Array.isArray(value) && value.some(item => typeof item === 'string'))
}
